#include <stairspur/keyed/PeerReachability.h>

namespace stairspur::keyed {

auto PeerReachability::didFail(const NodeId &node, TimePoint now) -> void
{
    auto &state = m_nodes[node];
    if (!state.hasFailed) {
        state.hasFailed = true;
        state.since = now;
    }
    if (now - state.since >= m_settings.unreachableAfter)
        state.isUnreachable = true;
}

auto PeerReachability::didReceive(const NodeId &node) -> bool
{
    const auto it = m_nodes.find(node);
    if (it == m_nodes.end())
        return false;
    const auto wasUnreachable = it->second.isUnreachable;
    m_nodes.erase(it);
    return wasUnreachable;
}

auto PeerReachability::isUnreachable(const NodeId &node) const -> bool
{
    const auto it = m_nodes.find(node);
    return it != m_nodes.end() && it->second.isUnreachable;
}

auto PeerReachability::takeDueProbes(TimePoint now) -> std::vector<NodeId>
{
    auto due = std::vector<NodeId>();
    for (auto &[node, state] : m_nodes) {
        if (now < state.nextProbe)
            continue;
        state.nextProbe = now + m_settings.probeInterval;
        due.push_back(node);
    }
    return due;
}

auto PeerReachability::requestProbe(const NodeId &node, TimePoint now) -> void
{
    m_nodes.try_emplace(node, State{now, now});
}

} // namespace stairspur::keyed
