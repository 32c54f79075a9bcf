#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include <stairspur/core/Identifiers.h>

/// Retries: one budget per root request, kept where its calls run, and a token bucket per service.
namespace stairspur::retry {

/// The extra attempts that a running call and its deeper calls may still make. The gate that dispatched the call keeps
/// it, since every deeper call comes back to the entry of the same host.
///
/// Over the whole chain: dispatches <= calls of the graph + budget of the root.
class RetryLedger
{
public:
    /// A call was dispatched with `budget` extra attempts left for it and everything below.
    auto open(CallId call, std::uint32_t budget) -> void;

    /// Whether the call still runs here.
    [[nodiscard]] auto isOpen(CallId call) const -> bool;

    /// A deeper call starts: takes its share of what is left, so that siblings have some too. Nothing when the parent is
    /// not open.
    auto takeShare(CallId parent) -> std::optional<std::uint32_t>;

    /// The deeper call ended and did not spend `unspent` of its share. A lost answer returns nothing.
    auto giveBack(CallId parent, std::uint32_t unspent) -> void;

    /// The call ended. What is left goes back with its answer.
    auto close(CallId call) -> std::uint32_t;

private:
    std::unordered_map<CallId, std::uint32_t> m_left;
};

} // namespace stairspur::retry
