#include "LivenessHistory.h"

#include <utility>

namespace stairspur::node {

auto LivenessHistory::didChangeView(const membership::MembershipView &view, TimePoint now) -> void
{
    auto judgements = std::map<NodeId, Judgement>();
    for (const auto &it : view.members) {
        if (it.liveness == membership::Liveness::Alive)
            continue;
        const auto previous = m_judgements.find(it.node);
        const auto isUnchanged =
                previous != m_judgements.end() && previous->second.liveness == it.liveness;
        judgements.emplace(it.node,
                           Judgement{it.liveness, isUnchanged ? previous->second.since : now});
    }
    m_judgements = std::move(judgements);
}

auto LivenessHistory::since(const NodeId &node) const -> std::optional<TimePoint>
{
    const auto it = m_judgements.find(node);
    if (it == m_judgements.end())
        return std::nullopt;
    return it->second.since;
}

} // namespace stairspur::node
