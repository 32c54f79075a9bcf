#include "ReportView.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

/// A queue beyond this many times the limit tells nothing more, and a lying one shall not hide an upstream for long.
static constexpr std::uint32_t MaxQueuePerLimit = 4;
static constexpr auto MaxEstimatedWait = Duration{60'000'000};

/// No gate lets more calls run at once, whatever its backend server announces.
static constexpr std::uint32_t MaxLimit = 1U << 20U;

/// Half-lives after which the order of sequences is no longer kept, and a reported drain no longer believed.
static constexpr auto ForgottenAfterHalfLives = 8;

auto ReportView::isNewer(const admission::LoadReport &report, TimePoint now,
                         Duration halfLife) const -> bool
{
    if (!m_isKnown || report.sequence > m_sequence)
        return true;
    return now - m_takenAt > halfLife * ForgottenAfterHalfLives;
}

auto ReportView::take(const admission::LoadReport &report, std::uint32_t slots,
                      std::uint32_t ownInFlight, TimePoint now) -> void
{
    m_limit = std::clamp(report.limit, 1U, std::clamp(slots, 1U, MaxLimit));
    const auto inFlight = std::min(report.inFlight, m_limit);
    const auto queued = std::min(report.queued, m_limit * MaxQueuePerLimit);
    const auto others = inFlight + queued - std::min(inFlight + queued, ownInFlight);
    m_othersLoad = static_cast<float>(others) / static_cast<float>(m_limit);
    m_estimatedWait = std::clamp(report.estimatedWait, Duration::zero(), MaxEstimatedWait);
    m_isDraining = report.isDraining;
    m_drainingSince = now;
    m_sequence = report.sequence;
    m_takenAt = now;
    m_isKnown = true;
}

auto ReportView::confidence(TimePoint now, Duration halfLife) const -> double
{
    if (!m_isKnown)
        return 0.0;
    const auto age = std::max(Duration::zero(), now - m_takenAt);
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

auto ReportView::isDraining(TimePoint now, Duration halfLife) const -> bool
{
    return m_isDraining && now - m_drainingSince <= halfLife * ForgottenAfterHalfLives;
}

auto ReportView::didRefuseDraining(TimePoint now) -> void
{
    m_isDraining = true;
    m_drainingSince = now;
}

} // namespace stairspur::routing
