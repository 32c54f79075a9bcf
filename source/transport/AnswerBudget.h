#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace stairspur::transport {

class HttpClientConnection;

/// Limits the bytes of unfinished answers over all connections of a client. A server may send bytes without end, on many
/// connections at once, and a limit for each answer alone would not bound their sum.
class AnswerBudget
{
public:
    explicit AnswerBudget(std::uint64_t maxBytes)
        : m_maxBytes(maxBytes)
    {}

    /// Sets the bytes that a connection holds of its unfinished answer. Returns the connection that holds the most if all
    /// together exceed the budget, else null.
    auto setHeld(HttpClientConnection *connection, std::uint64_t bytes) -> HttpClientConnection *
    {
        auto &held = m_held[connection];
        m_total += bytes - held;
        held = bytes;
        if (m_total <= m_maxBytes)
            return nullptr;
        const auto bytesOf = [](const auto &it) { return it.second; };
        return std::ranges::max_element(m_held, {}, bytesOf)->first;
    }

    /// The connection's answer is complete or given up.
    auto release(HttpClientConnection *connection) -> void
    {
        const auto it = m_held.find(connection);
        if (it == m_held.end())
            return;
        m_total -= it->second;
        m_held.erase(it);
    }

private:
    std::uint64_t m_maxBytes;
    std::uint64_t m_total = 0;
    std::unordered_map<HttpClientConnection *, std::uint64_t> m_held;
};

} // namespace stairspur::transport
