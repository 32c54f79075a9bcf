#include "State.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace stairspur::admission {

static auto newLimit(const AdmissionSettings &settings) -> AdaptiveLimit
{
    return settings.followsReportedSlots
                   ? AdaptiveLimit::fixedFor(settings.reportedSlots)
                   : AdaptiveLimit(settings.initialLimit, settings.reportedSlots);
}

AdmissionController::State::State(const AdmissionSettings &settings)
    : m_settings(settings)
    , m_limit(newLimit(settings))
    , m_retryAfter(settings)
{}

auto AdmissionController::State::offer(const CallOffer &offer, TimePoint now, Random &random)
        -> AdmissionActions
{
    observe(now);
    auto actions = AdmissionActions();
    m_retryAfter.didOffer();
    m_costs.didOffer(offer.kind(), offer.callsPerRoot, now);
    const auto order = orderOf(offer);
    m_floor.didArrive(order, serviceTimeOf(offer.kind()));
    // Waiting calls that have become too late are refused first, so that only the others count for the new call.
    processQueue(std::nullopt, now, random, actions);
    const auto refusal = refusalOf({offer, order}, now);
    if (refusal == Reason::None)
        m_queue.push({offer, order});
    else
        refuse(offer.id, refusal, random, actions);
    processQueue(offer.id, now, random, actions);
    return actions;
}

auto AdmissionController::State::didComplete(CallId id, Completion completion, Duration latency,
                                             TimePoint now, Random &random) -> AdmissionActions
{
    observe(now);
    auto actions = AdmissionActions();
    const auto inFlightBefore = inFlight();
    const auto ended = m_running.extract(id);
    if (!ended) {
        assert(false && "only a dispatched call can complete, and only once");
        return actions;
    }
    didReduceLoad();
    m_limit.didComplete({completion, latency, m_serviceTime.mean(), inFlightBefore}, now);
    if (completion == Completion::Succeeded) {
        m_serviceTime.didMeasure(latency);
        m_costs.didMeasure(ended.mapped(), latency);
    }
    if (completion == Completion::TimedOut)
        m_serviceTime.didExceed(latency);
    processQueue(std::nullopt, now, random, actions);
    return actions;
}

auto AdmissionController::State::cancel(CallId id, TimePoint now, Random &random)
        -> AdmissionActions
{
    observe(now);
    auto actions = AdmissionActions();
    didReduceLoad();
    if (m_queue.remove(id))
        processQueue(std::nullopt, now, random, actions);
    return actions;
}

auto AdmissionController::State::advanceTo(TimePoint now, Random &random) -> AdmissionActions
{
    observe(now);
    auto actions = AdmissionActions();
    processQueue(std::nullopt, now, random, actions);
    return actions;
}

auto AdmissionController::State::startDraining(TimePoint now, Random &random) -> AdmissionActions
{
    observe(now);
    m_isDraining = true;
    return refuseWaiting(Reason::Draining, now, random);
}

auto AdmissionController::State::refuseWaiting(Reason reason, TimePoint now, Random &random)
        -> AdmissionActions
{
    observe(now);
    auto actions = AdmissionActions();
    const auto all = m_queue.removeIf([](const QueuedCall &, std::uint32_t) { return true; });
    for (const auto &it : all)
        refuse(it.id, reason, random, actions);
    return actions;
}

auto AdmissionController::State::didReplaceBackend() -> void
{
    m_limit = newLimit(m_settings);
    m_rate = RateLimit();
    m_serviceTime = ServiceTime();
    m_costs.clear();
}

auto AdmissionController::State::report(TimePoint now) -> LoadReport
{
    observe(now);
    auto report = LoadReport();
    report.sequence = ++m_sequence;
    report.limit = m_limit.limit();
    report.inFlight = inFlight();
    report.queued = queued();
    report.estimatedWait = queued() == 0 && hasRoom() ? Duration(0) : waitAtFloor();
    report.isDraining = m_isDraining;
    if (m_isDraining) {
        report.floors.assign(1, ClosedLevel);
        return report;
    }
    addFloors(report);
    return report;
}

auto AdmissionController::State::addFloors(LoadReport &report) const -> void
{
    const auto floor = m_floor.floor();
    const auto classFloor = lowestLevelAt(floor, 0);
    for (std::size_t rank = 0; rank < std::max<std::size_t>(m_deeper.size(), 1); ++rank) {
        const auto deeper = m_deeper.floorFor(static_cast<ClassRank>(rank));
        report.floors.push_back(std::max(classFloor, deeper));
    }
    report.pathFloors = m_deeper.pathsAbove(classFloor);
    for (const auto path : m_costs.yieldingPathsOf(classFloor.rank())) {
        const auto yieldingLevels = m_costs.yieldingLevelsOf({classFloor.rank(), path});
        raiseFloorOfPath(report.pathFloors, {path, lowestLevelAt(floor, yieldingLevels)});
    }
}

auto AdmissionController::State::serviceTimeOf(FloorKey kind) const -> Duration
{
    return m_costs.serviceTimeOf(kind, m_serviceTime.mean());
}

auto AdmissionController::State::orderOf(const CallOffer &offer) const -> ServingOrder
{
    return servingOrderOf(offer.level, m_costs.yieldingLevelsOf(offer.kind()));
}

auto AdmissionController::State::inFlight() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_running.size());
}

auto AdmissionController::State::refusalOf(const QueuedCall &call, TimePoint now) const -> Reason
{
    const auto &offer = call.offer;
    if (m_isDraining)
        return Reason::Draining;
    if (offer.deadline <= now)
        return Reason::DeadlineExceeded;
    if (isBelowDeeperFloor(offer))
        return Reason::BelowFloor;
    // A call of a greater order than a waiting call is served before it, whatever the floor is.
    const auto isBeforeLast = !m_queue.isEmpty() && call.order > m_queue.last().order;
    if (!isBeforeLast && !hasRoom() && call.order < m_enforcedFloor)
        return Reason::BelowFloor;
    return Reason::None;
}

auto AdmissionController::State::processQueue(std::optional<CallId> newCall, TimePoint now,
                                              Random &random, AdmissionActions &actions) -> void
{
    refuseBelowDeeperFloors(random, actions);
    dispatchFree(now, random, actions);
    const auto before = queued();
    refuseTooLate(now, random, actions);
    // Calls that become too late because of a new call show that load has grown.
    if (!newCall && queued() < before)
        didReduceLoad();
    boundQueue(newCall, random, actions);
    refuseOvertaken(random, actions);
}

auto AdmissionController::State::refuseBelowDeeperFloors(Random &random, AdmissionActions &actions)
        -> void
{
    // Calls that waited when the floor rose must not be served while calls of greater levels are refused.
    const auto isBelow = [&](const QueuedCall &call, std::uint32_t) {
        return isBelowDeeperFloor(call.offer);
    };
    for (const auto &it : m_queue.removeIf(isBelow))
        refuse(it.id, Reason::BelowFloor, random, actions);
}

auto AdmissionController::State::isBelowDeeperFloor(const CallOffer &call) const -> bool
{
    return call.level < m_deeper.enforcedFloorFor(call.floorKey());
}

auto AdmissionController::State::dispatchFree(TimePoint now, Random &random,
                                              AdmissionActions &actions) -> void
{
    while (!m_queue.isEmpty() && hasRoom()) {
        const auto call = m_queue.popFirst();
        if (call.deadline <= now) {
            refuse(call.id, Reason::DeadlineExceeded, random, actions);
            continue;
        }
        // An idle backend server receives every call that has not expired. A service time that was measured during a slowdown would
        // otherwise refuse all calls, and would never be updated.
        if (inFlight() > 0 && now + m_serviceTime.mean() > call.deadline) {
            refuse(call.id, Reason::WaitExceedsDeadline, random, actions);
            continue;
        }
        m_rate.take();
        m_running.emplace(call.id, call.kind());
        actions.dispatch.push_back(call.id);
    }
}

auto AdmissionController::State::refuseTooLate(TimePoint now, Random &random,
                                               AdmissionActions &actions) -> void
{
    const auto isTooLate = [&](const QueuedCall &call, std::uint32_t position) {
        const auto &offer = call.offer;
        return now + waitBehind(position) + m_serviceTime.mean() > offer.deadline;
    };
    for (const auto &it : m_queue.removeIf(isTooLate)) {
        const auto hasExpired = it.deadline <= now;
        const auto reason = hasExpired ? Reason::DeadlineExceeded : Reason::WaitExceedsDeadline;
        refuse(it.id, reason, random, actions);
    }
}

auto AdmissionController::State::refuseOvertaken(Random &random, AdmissionActions &actions) -> void
{
    const auto order = m_queue.greatestOvertaken(queueBound());
    if (!order)
        return;
    // Calls of greater order keep arriving here, but another upstream may have a free slot while there is time. The
    // calls behind the overtaken one would wait even longer, and must not be served instead of it.
    const auto isOvertaken = [&](const QueuedCall &call, std::uint32_t) {
        return call.order <= *order;
    };
    for (const auto &it : m_queue.removeIf(isOvertaken)) {
        raiseFloorIfDeeper(it);
        refuse(it.id, Reason::Evicted, random, actions);
    }
    m_enforcedFloor = std::max(m_enforcedFloor, *order);
}

auto AdmissionController::State::boundQueue(std::optional<CallId> newCall, Random &random,
                                            AdmissionActions &actions) -> void
{
    const auto bound = queueBound();
    while (m_queue.size() > bound) {
        const auto call = m_queue.popLast();
        raiseFloorIfDeeper(call);
        const auto full = isBoundByRate() ? Reason::RateLimited : Reason::QueueFull;
        refuse(call.id, call.id == newCall ? full : Reason::Evicted, random, actions);
    }
}

auto AdmissionController::State::raiseFloorIfDeeper(const CallOffer &offer) -> void
{
    // Where calls of running requests are refused, no request of the same order may begin: its calls would be refused
    // the same way.
    if (offer.isDeeperCall)
        m_floor.raiseAbove(orderOf(offer));
}

auto AdmissionController::State::refuse(CallId id, Reason reason, Random &random,
                                        AdmissionActions &actions) -> void
{
    const auto delay = m_retryAfter.didRefuse(random);
    const auto untilToken = static_cast<double>(m_rate.timeUntil(queued() + 1).count());
    const auto spread = Duration(std::llround(untilToken * (1.0 + randomUnit(random))));
    actions.refuse.push_back(
            {id, reason, std::max(delay, std::min(spread, m_settings.retryAfterMax))});
}

auto AdmissionController::State::observe(TimePoint now) -> void
{
    m_deeper.advanceTo(now);
    m_costs.advanceTo(now);
    m_rate.advanceTo(now);
    auto load = FloorEstimator::Load();
    load.wait = m_queue.isEmpty() ? Duration(0) : waitBehind(queued() - 1);
    load.targetWait = targetWait();
    if (!m_queue.isEmpty())
        load.lowestWaiting = m_queue.last().order;
    load.capacity = capacity();
    load.busyShare = m_rate.hasToken() ? std::min(1.0, inFlight() / load.capacity) : 1.0;
    load.hasServiceTime = m_serviceTime.mean() > Duration(0);
    m_floor.didObserve(load, now);
    m_enforcedFloor = std::max(m_enforcedFloor, m_floor.lowestRecentFloor());
}

auto AdmissionController::State::didReduceLoad() -> void
{
    m_enforcedFloor = m_floor.lowestRecentFloor();
}

} // namespace stairspur::admission
