#pragma once

#include <map>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::keyed {

struct ReachabilitySettings
{
    Duration unreachableAfter{
            500'000}; ///< A node that failed for this long, with nothing received, is unreachable.
    Duration probeInterval{100'000}; ///< Between two probes of a node that doesn't reply.
};

/// Tracks which nodes are unreachable over this node's own links, long before membership declares them dead. The
/// remaining member of a primary and witness pair takes over a slot on this basis. The takeover is safe whether or
/// not the other member has failed, because the old epoch is sealed first; a false detection costs one write to the
/// store.
class PeerReachability
{
public:
    explicit PeerReachability(ReachabilitySettings settings)
        : m_settings(settings)
    {}

    /// Records that a message to `node` got no reply.
    auto didFail(const NodeId &node, TimePoint now) -> void;

    /// Records that a message of `node` was received, a reply or not. Returns whether `node` was unreachable until
    /// then.
    auto didReceive(const NodeId &node) -> bool;

    /// Returns whether `node` has failed for `unreachableAfter` with nothing received.
    [[nodiscard]] auto isUnreachable(const NodeId &node) const -> bool;

    /// Returns the nodes to probe now and sets their next probe: tracked nodes whose last probe was at least
    /// `probeInterval` ago.
    auto takeDueProbes(TimePoint now) -> std::vector<NodeId>;

    /// Makes a probe of `node` due, after another node could not reach it.
    auto requestProbe(const NodeId &node, TimePoint now) -> void;

    /// Removes the nodes for which `isKnown` returns false.
    template <typename IsKnown>
    auto retain(const IsKnown &isKnown) -> void
    {
        std::erase_if(m_nodes, [&](const auto &it) { return !isKnown(it.first); });
    }

private:
    struct State
    {
        TimePoint since; ///< Time of the first failure with nothing received after it.
        TimePoint nextProbe;
        bool hasFailed = false;
        bool isUnreachable = false;
    };

    ReachabilitySettings m_settings;
    std::map<NodeId, State> m_nodes;
};

} // namespace stairspur::keyed
