#include <stairspur/quota/AliveNodes.h>

#include <algorithm>
#include <set>

namespace stairspur::quota {

auto AliveNodes::matureTimeOf(const AliveNode &node, Incarnation newest, TimePoint now) const
        -> TimePoint
{
    static constexpr auto StartupMilliseconds =
            static_cast<Incarnation>(toMilliseconds(StartupTime));
    if (now - m_startedAt >= StartupTime)
        return now + m_maturity;
    const auto wasThereBefore = node.incarnation + StartupMilliseconds < newest;
    // A node that started together with this one becomes mature together with it, whenever it appears.
    return wasThereBefore ? now : std::max(now, m_startedAt + m_maturity);
}

auto AliveNodes::setNodes(const std::vector<AliveNode> &nodes, TimePoint now) -> void
{
    auto alive = std::set<NodeId>();
    auto newest = Incarnation{0};
    for (const auto &it : nodes) {
        alive.insert(it.node);
        newest = std::max(newest, it.incarnation);
    }
    std::erase_if(m_matureAt, [&](const auto &it) { return !alive.contains(it.first); });
    for (const auto &it : nodes)
        m_matureAt.emplace(it.node, matureTimeOf(it, newest, now));
}

auto AliveNodes::didResume(const NodeId &node, TimePoint now) -> void
{
    const auto it = m_matureAt.find(node);
    if (it != m_matureAt.end())
        it->second = now + m_maturity;
}

auto AliveNodes::mature(TimePoint now) const -> std::vector<NodeId>
{
    auto nodes = std::vector<NodeId>();
    for (const auto &[node, matureAt] : m_matureAt) {
        if (matureAt <= now)
            nodes.push_back(node);
    }
    if (!nodes.empty())
        return nodes;
    for (const auto &it : m_matureAt)
        nodes.push_back(it.first);
    return nodes;
}

auto AliveNodes::nextMaturity(TimePoint now) const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto &[node, matureAt] : m_matureAt) {
        if (matureAt > now)
            next = std::min(next, matureAt);
    }
    return next;
}

} // namespace stairspur::quota
