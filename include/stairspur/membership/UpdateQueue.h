#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include <stairspur/core/Hash.h>
#include <stairspur/membership/MemberTable.h>
#include <stairspur/membership/Message.h>

namespace stairspur::membership {

/// Members whose latest record still has to be passed on with other messages. Those sent least often go first, and each
/// leaves after lambda log2 N sends (SWIM, section 4.1), so that the bytes for one change are bounded.
template <MembershipPolicy Policy>
class UpdateQueue
{
public:
    /// `salt` differs between nodes, so that they don't all send the same updates first.
    explicit UpdateQueue(std::uint64_t salt)
        : m_salt(salt)
    {}

    /// Starts anew for a member whose record has changed.
    auto push(const NodeId &node) -> void { m_sends[node] = 0; }
    auto erase(const NodeId &node) -> void { m_sends.erase(node); }

    /// Another node passed the same record on: it spreads without this one too. In the second half of its sends that
    /// counts as some (rumor mongering with feedback, Demers et al., PODC 1987).
    auto didHearAgain(const NodeId &node, std::uint32_t sendLimit) -> void
    {
        static constexpr auto SendsForHearing = 2U;
        const auto it = m_sends.find(node);
        if (it != m_sends.end() && it->second >= sendLimit / 2)
            it->second += SendsForHearing;
    }
    [[nodiscard]] auto size() const -> std::size_t { return m_sends.size(); }

    /// Records for one message, as many as `budget` has room for.
    auto take(const MemberTable<Policy> &table, RecordBudget &budget, std::uint32_t sendLimit)
            -> std::vector<Member>
    {
        auto chosen = std::vector<Member>();
        for (const auto &node : inOrder()) {
            const auto *member = table.find(node);
            auto &sends = m_sends[node];
            if (member == nullptr || (Policy::boundsRetransmission && sends >= sendLimit)) {
                m_sends.erase(node);
                continue;
            }
            if (!budget.take(*member))
                break;
            ++sends;
            chosen.push_back(*member);
        }
        return chosen;
    }

private:
    [[nodiscard]] auto inOrder() const -> std::vector<NodeId>
    {
        auto ranked = std::vector<std::tuple<std::uint32_t, std::uint64_t, NodeId>>();
        ranked.reserve(m_sends.size());
        for (const auto &[node, sends] : m_sends)
            ranked.emplace_back(sends, hash64(node, m_salt), node);
        std::sort(ranked.begin(), ranked.end());
        auto nodes = std::vector<NodeId>();
        nodes.reserve(ranked.size());
        for (auto &it : ranked)
            nodes.push_back(std::move(std::get<2>(it)));
        return nodes;
    }

    std::uint64_t m_salt;
    std::map<NodeId, std::uint32_t> m_sends;
};

/// How often an update is sent in a group of `members`.
inline auto sendLimit(double multiplier, std::size_t members) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
            std::ceil(multiplier * std::log2(static_cast<double>(members) + 2)));
}

} // namespace stairspur::membership
