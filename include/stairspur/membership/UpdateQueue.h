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

/// Members whose latest record is still to be sent along with other messages. Updates with the fewest sends go first,
/// and each is removed after lambda log2 N sends (SWIM, section 4.1), so that the number of bytes for one change is
/// bounded.
template <MembershipPolicy Policy>
class UpdateQueue
{
public:
    /// `salt` differs between nodes, so that they do not all send the same updates first.
    explicit UpdateQueue(std::uint64_t salt)
        : m_salt(salt)
    {}

    /// Queues the changed record of `node` with a send count of zero.
    auto push(const NodeId &node) -> void { m_sendCounts[node] = 0; }
    auto erase(const NodeId &node) -> void { m_sendCounts.erase(node); }

    /// Records that another node sent the same record, so that it spreads without this node too. In the second half
    /// of its sends this counts as two sends (rumor mongering with feedback, Demers et al., PODC 1987).
    auto didReceiveDuplicate(const NodeId &node, std::uint32_t sendLimit) -> void
    {
        static constexpr auto SendsPerDuplicate = 2U;
        const auto it = m_sendCounts.find(node);
        if (it != m_sendCounts.end() && it->second >= sendLimit / 2)
            it->second += SendsPerDuplicate;
    }
    [[nodiscard]] auto size() const -> std::size_t { return m_sendCounts.size(); }

    /// Returns records for one message, as many as fit into `budget`.
    auto take(const MemberTable<Policy> &table, RecordBudget &budget, std::uint32_t sendLimit)
            -> std::vector<Member>
    {
        auto chosen = std::vector<Member>();
        for (const auto &node : sortedBySends()) {
            const auto *member = table.find(node);
            auto &sends = m_sendCounts[node];
            if (member == nullptr || (Policy::boundsRetransmission && sends >= sendLimit)) {
                m_sendCounts.erase(node);
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
    [[nodiscard]] auto sortedBySends() const -> std::vector<NodeId>
    {
        auto ranked = std::vector<std::tuple<std::uint32_t, std::uint64_t, NodeId>>();
        ranked.reserve(m_sendCounts.size());
        for (const auto &[node, sends] : m_sendCounts)
            ranked.emplace_back(sends, hash64(node, m_salt), node);
        std::sort(ranked.begin(), ranked.end());
        auto nodes = std::vector<NodeId>();
        nodes.reserve(ranked.size());
        for (auto &it : ranked)
            nodes.push_back(std::move(std::get<2>(it)));
        return nodes;
    }

    std::uint64_t m_salt;
    std::map<NodeId, std::uint32_t> m_sendCounts;
};

/// Returns how often an update is sent in a group of `members`.
inline auto sendLimit(double multiplier, std::size_t members) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
            std::ceil(multiplier * std::log2(static_cast<double>(members) + 2)));
}

} // namespace stairspur::membership
