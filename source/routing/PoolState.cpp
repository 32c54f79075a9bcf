#include "PoolState.h"

#include <algorithm>
#include <utility>

#include "OwnFloorEstimate.h"
#include "RefusalDelay.h"
#include "RendezvousSubset.h"
#include "SlowStart.h"

namespace stairspur::routing {

/// Weight of one answer in the smoothed latency, as a divisor (Jacobson, SIGCOMM 1988).
static constexpr auto LatencyDivisor = 8;

UpstreamPool::State::State(std::string service, const RoutingSettings &settings)
    : m_service(std::move(service))
    , m_settings(settings)
{
    m_settings.reportHalfLife = std::max(m_settings.reportHalfLife, Duration{1});
}

auto UpstreamPool::State::find(const NodeId &node) -> UpstreamView *
{
    return const_cast<UpstreamView *>(std::as_const(*this).find(node));
}

auto UpstreamPool::State::find(const NodeId &node) const -> const UpstreamView *
{
    const auto it = std::lower_bound(
            m_views.begin(), m_views.end(), node,
            [](const UpstreamView &view, const NodeId &id) { return view.upstream().node < id; });
    return it != m_views.end() && it->upstream().node == node ? &*it : nullptr;
}

auto UpstreamPool::State::keepStatements(const std::vector<Upstream> &members, TimePoint now)
        -> void
{
    for (const auto &it : m_views) {
        const auto &node = it.upstream().node;
        if (!std::ranges::binary_search(members, node, {}, &Upstream::node))
            m_formerStatements.keep(node, it.statement(), now);
    }
}

auto UpstreamPool::State::statementOf(const NodeId &node) const -> admission::InstanceStatement
{
    const auto *view = find(node);
    return view ? view->statement() : admission::InstanceStatement();
}

auto UpstreamPool::State::setUpstreams(std::span<const Upstream> upstreams, TimePoint now) -> void
{
    auto sorted = std::vector<Upstream>(upstreams.begin(), upstreams.end());
    std::sort(sorted.begin(), sorted.end(),
              [](const Upstream &a, const Upstream &b) { return a.node < b.node; });
    keepStatements(sorted, now);
    auto views = std::vector<UpstreamView>();
    views.reserve(sorted.size());
    for (auto &it : sorted) {
        if (!views.empty() && views.back().upstream().node == it.node)
            continue;
        auto *view = find(it.node);
        if (view == nullptr) {
            const auto statement = m_formerStatements.take(it.node);
            views.emplace_back(std::move(it), now).setStatement(statement);
            continue;
        }
        view->update(it, now);
        // Both lists are sorted by node id. A view that is moved from thus precedes the ones still to be found, and the
        // binary search stays valid.
        views.push_back(std::move(*view));
    }
    m_views = std::move(views);
    chooseSubset();
}

auto UpstreamPool::State::chooseSubset() -> void
{
    auto members = std::vector<SubsetMember>();
    members.reserve(m_views.size());
    for (const auto &it : m_views) {
        if (!it.upstream().isDraining)
            members.push_back({it.upstream().node, it.upstream().domain});
    }
    m_subset = rendezvousSubset(
            {m_service, m_settings.ownNode, m_settings.ownDomain, m_settings.subsetSize}, members);
    m_subsetIndices.clear();
    for (std::size_t index = 0; index < m_views.size(); ++index) {
        const auto &node = m_views[index].upstream().node;
        const auto isIn = std::binary_search(m_subset.begin(), m_subset.end(), node);
        m_views[index].setInSubset(isIn);
        if (isIn)
            m_subsetIndices.push_back(static_cast<std::uint32_t>(index));
    }
}

auto UpstreamPool::State::estimate(TimePoint now) const -> LoadEstimate
{
    auto loads = LoadEstimate(now, m_settings.reportHalfLife, m_settings.ejectionBase);
    for (const auto it : m_subsetIndices)
        loads.include(m_views[it]);
    return loads;
}

auto UpstreamPool::State::isUsable(const UpstreamView &view, TimePoint now) const -> bool
{
    return view.isReachable() && !view.isEjected(now)
           && !view.isDraining(now, m_settings.reportHalfLife);
}

auto UpstreamPool::State::pathFloor(FloorKey key, TimePoint now) const -> PathFloorEstimate
{
    auto result = PathFloorEstimate(key, now, m_settings.reportHalfLife);
    if (key.path == NoPath)
        return result;
    for (const auto it : m_subsetIndices) {
        if (isUsable(m_views[it], now))
            result.include(m_views[it]);
    }
    return result;
}

static auto decisionFor(const UpstreamView &view, RouteReason reason,
                        const std::vector<std::uint32_t> &candidates) -> RouteDecision
{
    auto decision = RouteDecision();
    decision.node = view.upstream().node;
    decision.choice = reason;
    decision.candidates = static_cast<std::uint32_t>(candidates.size());
    return decision;
}

auto UpstreamPool::State::choose(const RouteRequest &request, TimePoint now, Random &random)
        -> RouteDecision
{
    const auto floorBelow = pathFloor({request.level.rank(), request.path}, now);
    auto decision = choose(request, floorBelow, now, random);
    decision.pathFloor = floorBelow.floor();
    decision.pathFloorAge = floorBelow.age();
    return decision;
}

auto UpstreamPool::State::choose(const RouteRequest &request, const PathFloorEstimate &floorBelow,
                                 TimePoint now, Random &random) -> RouteDecision
{
    const auto loads = estimate(now);
    auto tiers = CandidateTiers(request, m_settings, now, loads, floorBelow);
    for (const auto it : m_subsetIndices)
        tiers.add(m_views[it], it);
    // If the path's floor is above the call, the upstreams outside the subset don't admit the call either.
    if (!tiers.hasTimelyInSubset() && floorBelow.floor() <= request.level)
        widen(tiers);
    if (const auto tier = tiers.best()) {
        const auto &members = tiers.members(*tier);
        const auto index = *tier == Tier::StaleFloor ? leastRecentlyUsed(members)
                                                     : pickOfTwo(members, loads, now, random);
        const auto &view = m_views[index];
        return decisionFor(view, reasonFor(*tier, view, members.size()), members);
    }
    const auto &refusing = tiers.members(Tier::BelowFloor);
    if (!refusing.empty() && request.isDeeperCall) {
        // A refusal of this call would waste all work of the request so far, and the cached floor may have dropped.
        const auto &view = m_views[pickOfTwo(refusing, loads, now, random)];
        return decisionFor(view, RouteReason::DeeperCall, refusing);
    }
    if (!refusing.empty() && request.mayProbe && randomUnit(random) < m_settings.probeShare) {
        const auto &view = m_views[pickOne(refusing, std::nullopt, now, random)];
        return decisionFor(view, RouteReason::Probe, refusing);
    }
    return refuse(tiers, request, random);
}

auto UpstreamPool::State::widen(CandidateTiers &tiers) const -> void
{
    for (std::size_t index = 0; index < m_views.size(); ++index) {
        if (!m_views[index].isInSubset())
            tiers.add(m_views[index], index);
    }
}

auto UpstreamPool::State::reasonFor(Tier tier, const UpstreamView &view,
                                    std::size_t candidates) const -> RouteReason
{
    if (tier == Tier::StaleFloor)
        return RouteReason::ImportantBypass;
    if (view.upstream().domain != m_settings.ownDomain)
        return RouteReason::Spilled;
    return candidates == 1 ? RouteReason::OnlyCandidate : RouteReason::LessLoaded;
}

auto UpstreamPool::State::refuse(const CandidateTiers &tiers, const RouteRequest &request,
                                 Random &random) const -> RouteDecision
{
    auto decision = RouteDecision{};
    decision.candidates = static_cast<std::uint32_t>(tiers.members(Tier::BelowFloor).size());
    if (const auto floor = tiers.lowestFloor()) {
        // A closed floor means that a service on the call's path has no reachable upstream; it doesn't mean overload.
        const auto isClosed = *floor >= ClosedLevel;
        decision.refusal = isClosed ? Reason::NoUpstream : Reason::BelowFloor;
        decision.retryAfter = isClosed ? noUpstreamDelay(m_settings, random)
                                       : floorDelay(request.level, *floor, m_settings, random);
        return decision;
    }
    const auto isDraining = tiers.hasDraining() && !tiers.hasNonDraining();
    decision.refusal = isDraining ? Reason::Draining : Reason::NoUpstream;
    decision.retryAfter = noUpstreamDelay(m_settings, random);
    return decision;
}

auto UpstreamPool::State::pickOne(const std::vector<std::uint32_t> &members,
                                  std::optional<std::uint32_t> skipped, TimePoint now,
                                  Random &random) const -> std::uint32_t
{
    const auto shareOf = [&](std::uint32_t index) {
        const auto share = slowStartShare(m_views[index].slowStartAt(), now, m_settings.slowStart);
        return index == skipped ? 0.0 : share;
    };
    auto total = 0.0;
    for (const auto it : members)
        total += shareOf(it);
    auto point = randomUnit(random) * total;
    for (const auto it : members) {
        point -= shareOf(it);
        if (point < 0)
            return it;
    }
    // Rounding errors can leave a small remainder.
    return members.back() == skipped ? members.front() : members.back();
}

auto UpstreamPool::State::pickOfTwo(const std::vector<std::uint32_t> &members,
                                    const LoadEstimate &loads, TimePoint now, Random &random) const
        -> std::uint32_t
{
    const auto first = pickOne(members, std::nullopt, now, random);
    if (members.size() == 1)
        return first;
    const auto second = pickOne(members, first, now, random);
    return loads.loadOf(m_views[second]) < loads.loadOf(m_views[first]) ? second : first;
}

auto UpstreamPool::State::leastRecentlyUsed(const std::vector<std::uint32_t> &members) const
        -> std::uint32_t
{
    return *std::min_element(members.begin(), members.end(), [&](auto a, auto b) {
        return m_views[a].lastSentAt() < m_views[b].lastSentAt();
    });
}

auto UpstreamPool::State::setReachable(const NodeId &node, bool isReachable) -> void
{
    if (auto *view = find(node))
        view->setReachable(isReachable);
}

auto UpstreamPool::State::didSend(const NodeId &node, TimePoint now) -> void
{
    if (auto *view = find(node))
        view->didSend(now);
}

auto UpstreamPool::State::didEnd(const AttemptResult &result, TimePoint now) -> void
{
    auto *view = find(result.node);
    if (view == nullptr)
        return;
    view->didEnd(result, now, m_settings.reportHalfLife);
    if (result.outcome == Outcome::Answered) {
        const auto isFirst = m_smoothedLatency == Duration::zero();
        m_smoothedLatency =
                isFirst ? result.latency
                        : m_smoothedLatency + (result.latency - m_smoothedLatency) / LatencyDivisor;
    }
    ejectIfOutlier(*view, now);
}

auto UpstreamPool::State::poolSuccessRate(TimePoint now) const -> double
{
    auto sum = 0.0;
    auto n = 0U;
    for (const auto &it : m_views) {
        if (it.outcomes().attempts() == 0 || it.isEjected(now))
            continue;
        sum += it.outcomes().successRate(now, m_settings.ejectionBase);
        ++n;
    }
    return n == 0 ? 1.0 : sum / n;
}

auto UpstreamPool::State::ejectIfOutlier(UpstreamView &view, TimePoint now) -> void
{
    // The pool's rate needs a pass over all upstreams. It is at most 1, so this check alone settles most attempts.
    if (!OutlierEjection::isOutlier(view.outcomes(), 1.0, now, m_settings.ejectionBase))
        return;
    if (view.isEjected(now)
        || !OutlierEjection::isOutlier(view.outcomes(), poolSuccessRate(now), now,
                                       m_settings.ejectionBase))
        return;
    const auto isEjected = [&](const UpstreamView &it) { return it.isEjected(now); };
    const auto mayTakeCalls = [&](const UpstreamView &it) {
        return !it.isEjected(now) && !it.isDraining(now, m_settings.reportHalfLife);
    };
    const auto ejected = std::count_if(m_views.begin(), m_views.end(), isEjected);
    const auto usable = std::count_if(m_views.begin(), m_views.end(), mayTakeCalls);
    const auto maxEjected = OutlierEjection::maxEjected(m_views.size(), m_settings.maxEjectedShare);
    if (static_cast<std::size_t>(ejected) >= maxEjected || usable <= 1)
        return;
    view.eject(now, m_settings.ejectionBase);
}

auto UpstreamPool::State::didReceiveReport(const NodeId &node, const admission::LoadReport &report,
                                           TimePoint now) -> void
{
    if (auto *view = find(node))
        view->didReceiveReport(report, now, m_settings.reportHalfLife);
}

/// Upstreams without a recent report count only if there are no others. They are nearly always those of other failure
/// domains, which receive calls only when the own one refuses. If a missing report counted as a floor of zero, it would
/// hide that all of them lead to the same overloaded service.
auto UpstreamPool::State::floorFor(FloorKey key, TimePoint now) const -> Level
{
    const auto floorBelow = pathFloor(key, now).floor();
    auto ownFloor = OwnFloorEstimate(key, now, m_settings.reportHalfLife);
    auto isAnyUsable = false;
    for (const auto &it : m_views) {
        const auto isLinkedOrReported = it.isInSubset() || it.reports().limit() > 0;
        if (!isLinkedOrReported || !isUsable(it, now))
            continue;
        isAnyUsable = true;
        ownFloor.include(it);
    }
    if (!isAnyUsable)
        return ClosedLevel;
    return std::max(ownFloor.floor(), floorBelow);
}

} // namespace stairspur::routing
