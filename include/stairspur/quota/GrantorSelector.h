#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/quota/AliveNodes.h>

namespace stairspur::quota {

/// Selects the node that grants the tokens of a caller, by rendezvous hashing (Thaler and Ravishankar, 1998) among the mature
/// nodes. A node that has just joined is skipped: other hosts may not have it in their membership tables yet and would still
/// send their requests to its predecessor, so that both would grant the quota.
class GrantorSelector
{
public:
    GrantorSelector(Duration maturity, TimePoint startedAt)
        : m_nodes(maturity, startedAt)
    {}

    /// Sets the nodes that are alive, including this one.
    auto setNodes(const std::vector<AliveNode> &nodes, TimePoint now) -> void;

    /// Records that `node`, this node, was suspended; see AliveNodes::didResume().
    auto didResume(const NodeId &node, TimePoint now) -> void;

    /// Returns the grantor of `caller`; empty while there are no nodes.
    auto grantorOf(const std::string &caller, TimePoint now) -> NodeId;

private:
    /// Reads the candidates again and drops the cached choices.
    auto refresh(TimePoint now) -> void;

    AliveNodes m_nodes;
    std::vector<NodeId> m_candidates;
    TimePoint m_nextMaturity = TimePoint::max();
    /// Cached choices by caller, for the current candidates.
    std::unordered_map<std::string, NodeId> m_chosen;
};

} // namespace stairspur::quota
