#include "DomainSummary.h"

#include <algorithm>

namespace stairspur::node {

using membership::Liveness;
using membership::ServingState;

static auto countServing(DomainSummary &summary, ServingState state) -> void
{
    switch (state) {
    case ServingState::Serving:
        ++summary.serving;
        return;
    case ServingState::Draining:
        ++summary.draining;
        return;
    case ServingState::Starting:
        ++summary.starting;
        return;
    case ServingState::Left:
        return; // The node is alive, but its backend server has left.
    }
}

static auto countMember(DomainSummary &summary, const membership::Member &member) -> void
{
    switch (member.liveness) {
    case Liveness::Alive:
        ++summary.alive;
        countServing(summary, member.state);
        return;
    case Liveness::Suspect:
        ++summary.suspect;
        return;
    case Liveness::Dead:
        ++(member.state == ServingState::Left ? summary.left : summary.dead);
        return;
    }
}

auto summarizeDomains(const membership::MembershipView &view, const ReportedVersionMap &reported,
                      const NodeId &self) -> std::map<std::string, DomainSummary>
{
    auto domains = std::map<std::string, DomainSummary>();
    auto othersAlive = std::map<std::string, bool>();
    for (const auto &it : view.members) {
        auto &summary = domains[it.domain];
        countMember(summary, it);
        if (it.node == self)
            continue;
        othersAlive[it.domain] = othersAlive[it.domain] || it.liveness == Liveness::Alive;
        const auto version = reported.find(it.node);
        if (version != reported.end())
            summary.lastSeenAge = std::min(summary.lastSeenAge.value_or(version->second.age),
                                           version->second.age);
    }
    for (auto &[name, summary] : domains)
        summary.isCutOff = !othersAlive[name] && summary.suspect + summary.dead > 0;
    return domains;
}

} // namespace stairspur::node
