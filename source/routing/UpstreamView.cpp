#include "UpstreamView.h"

#include <algorithm>

namespace stairspur::routing {

/// Number of half-lives without a call after which the minimum latency of an upstream no longer excludes it.
static constexpr auto LatencyLifetimeHalfLives = 8;

/// Returns whether the outcome of an attempt counts as a failure of the upstream. A refusal for overload doesn't: the gate
/// works as intended, and its floor and load already keep calls away.
static auto isFault(const AttemptResult &result) -> bool
{
    switch (result.reason) {
    case Reason::LinkLost:
    case Reason::DamagedAnswer:
    case Reason::BackendFailed:
        return true;
    case Reason::Cancelled:
    case Reason::DeeperCallFailed:
        return false;
    default:
        return result.outcome == Outcome::Failed || result.outcome == Outcome::Unknown;
    }
}

auto UpstreamView::update(const Upstream &upstream, TimePoint now) -> void
{
    if (upstream.incarnation < m_upstream.incarnation)
        return;
    if (upstream.incarnation > m_upstream.incarnation) {
        reset(now);
        m_backendIncarnation = 0; // The restarted gate counts from scratch too.
    }
    m_upstream = upstream;
}

auto UpstreamView::reset(TimePoint now) -> void
{
    m_reports = {};
    m_floors = {};
    m_outcomes = {};
    m_ejection = {};
    m_slowStartAt = now;
}

auto UpstreamView::didEnd(const AttemptResult &result, TimePoint now, Duration halfLife) -> void
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (result.report)
        didReceiveReport(*result.report, now, halfLife);
    if (isFault(result)) {
        m_outcomes.didFail(now);
        return;
    }
    if (result.outcome == Outcome::NotRun) {
        didRefuse(result, now);
        return;
    }
    if (result.outcome != Outcome::Answered)
        return;
    m_outcomes.didSucceed(result.latency, now);
    if (result.level)
        m_floors.didAdmit(*result.level, now - result.latency, now, result.path);
}

auto UpstreamView::didRefuse(const AttemptResult &result, TimePoint now) -> void
{
    if (result.reason == Reason::Draining)
        m_reports.didRefuseDraining(now);
    if (result.reason == Reason::Cold)
        m_slowStartAt = now;
    if (result.reason == Reason::BelowFloor && result.level)
        m_floors.didRefuse(*result.level, now, result.path);
}

auto UpstreamView::didReceiveReport(const admission::LoadReport &report, TimePoint now,
                                    Duration halfLife) -> void
{
    if (!m_reports.isNewer(report, now, halfLife))
        return;
    const auto isNewBackend =
            m_backendIncarnation > 0 && report.backendIncarnation > m_backendIncarnation;
    if (isNewBackend)
        reset(now);
    m_backendIncarnation = report.backendIncarnation;
    if (report.statement)
        m_statement = *report.statement;
    m_reports.update(report, m_upstream.slots, m_inFlight, now);
    m_floors.update(report.floors, report.pathFloors, now);
}

auto UpstreamView::eject(TimePoint now, Duration base) -> void
{
    m_ejection.eject(now, base);
    m_outcomes.resetFailures();
    m_slowStartAt = m_ejection.until();
}

auto UpstreamView::isDraining(TimePoint now, Duration halfLife) const -> bool
{
    return m_upstream.isDraining || m_reports.isDraining(now, halfLife);
}

auto UpstreamView::limit(TimePoint now, Duration halfLife) const -> std::uint32_t
{
    const auto hasReport = m_reports.confidence(now, halfLife) > 0;
    return hasReport ? m_reports.limit() : std::max(1U, m_upstream.slots);
}

auto UpstreamView::isLatencyUnconfirmed(TimePoint now, Duration halfLife) const -> bool
{
    return m_inFlight == 0 && now - m_lastSentAt > halfLife * LatencyLifetimeHalfLives;
}

} // namespace stairspur::routing
