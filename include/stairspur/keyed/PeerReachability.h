#pragma once

#include <map>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::keyed {

struct ReachabilitySettings
{
    Duration unreachableAfter{
            500'000}; ///< Failures over this time, with nothing heard between, count.
    Duration probeInterval{100'000}; ///< Between two probes of a node that does not answer.
};

/// Which nodes this one cannot reach, by its own links, long before membership calls them dead. A pair's survivor goes by
/// it: taking a slot over is safe whether the other one has failed or not, since the old epoch is sealed first, so a wrong
/// suspicion costs a write to the store and no more.
class PeerReachability
{
public:
    explicit PeerReachability(ReachabilitySettings settings)
        : m_settings(settings)
    {}

    /// A message to `node` got no reply.
    auto didFail(const NodeId &node, TimePoint now) -> void;

    /// `node` answered, or sent something itself. Whether it was unreachable until now.
    auto didReceive(const NodeId &node) -> bool;

    [[nodiscard]] auto isUnreachable(const NodeId &node) const -> bool;

    /// The nodes to ask for a sign of life now: those that failed and were not asked for a while.
    auto takeDueProbes(TimePoint now) -> std::vector<NodeId>;

    /// Somebody else could not reach `node`: ask it soon.
    auto requestProbe(const NodeId &node, TimePoint now) -> void;

    /// Forgets nodes that are not among `known`.
    template <typename IsKnown>
    auto retain(const IsKnown &isKnown) -> void
    {
        std::erase_if(m_nodes, [&](const auto &it) { return !isKnown(it.first); });
    }

private:
    struct State
    {
        TimePoint since; ///< Of the first failure with nothing heard after it.
        TimePoint nextProbe;
        bool hasFailed = false;
        bool isUnreachable = false;
    };

    ReachabilitySettings m_settings;
    std::map<NodeId, State> m_nodes;
};

} // namespace stairspur::keyed
