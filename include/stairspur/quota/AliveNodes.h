#pragma once

#include <map>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::quota {

/// A node that is alive.
struct AliveNode
{
    NodeId node;
    /// Start of its process by its own wall clock, in milliseconds; clocks of nodes may differ.
    Incarnation incarnation = 0;
};

/// Keeps the nodes that are alive. A node is mature once it has been in the local membership table for a while, so that all
/// other nodes have it in theirs too. A node that appears in the first seconds after this node's start was there before and is
/// mature at once, unless it started at about the same time.
class AliveNodes
{
public:
    AliveNodes(Duration maturity, TimePoint startedAt)
        : m_maturity(maturity)
        , m_startedAt(startedAt)
    {}

    /// Sets the nodes that are alive, including this one.
    auto setNodes(const std::vector<AliveNode> &nodes, TimePoint now) -> void;

    /// Records that `node`, this node, was suspended. Others may have taken it for dead, so it becomes mature as a new node does.
    auto didResume(const NodeId &node, TimePoint now) -> void;

    /// Returns the mature nodes ordered by their ids; all nodes if none is mature.
    [[nodiscard]] auto mature(TimePoint now) const -> std::vector<NodeId>;
    /// Returns when the next node becomes mature; TimePoint::max() if all are.
    [[nodiscard]] auto nextMaturity(TimePoint now) const -> TimePoint;

private:
    /// Returns when a node that appears at `now` becomes mature; `newest` is the latest start of all nodes.
    [[nodiscard]] auto matureTimeOf(const AliveNode &node, Incarnation newest, TimePoint now) const
            -> TimePoint;

    /// Hosts that start at the same time have each other in their membership tables after about a second.
    static constexpr auto StartupTime = Duration{3'000'000};

    Duration m_maturity;
    TimePoint m_startedAt;
    std::map<NodeId, TimePoint> m_matureAt;
};

} // namespace stairspur::quota
