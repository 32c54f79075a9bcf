#include "ReportView.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

/// Longest queue that counts, in multiples of the limit. A longer queue makes no difference to the choice, and the bound
/// keeps a gate with a wrong report from being passed over for long.
static constexpr std::uint32_t MaxQueuePerLimit = 4;
/// Longest reported wait that counts.
static constexpr auto MaxEstimatedWait = Duration{60'000'000};

/// Greatest limit of any gate, regardless of the slots that its backend server announces.
static constexpr std::uint32_t MaxLimit = 1U << 20U;

/// Number of half-lives after which a report no longer counts, nor a reported drain, and one with a smaller sequence is
/// accepted.
static constexpr auto ReportLifetimeHalfLives = 8;

auto ReportView::isNewer(const admission::LoadReport &report, TimePoint now,
                         Duration halfLife) const -> bool
{
    if (!m_hasReport || report.sequence > m_sequence)
        return true;
    return now - m_receivedAt > halfLife * ReportLifetimeHalfLives;
}

auto ReportView::update(const admission::LoadReport &report, std::uint32_t slots,
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
    m_receivedAt = now;
    m_hasReport = true;
}

auto ReportView::confidence(TimePoint now, Duration halfLife) const -> double
{
    if (!m_hasReport)
        return 0.0;
    const auto age = std::max(Duration::zero(), now - m_receivedAt);
    // The remainder would keep the upstream behind idle ones for good.
    if (age > halfLife * ReportLifetimeHalfLives)
        return 0.0;
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

auto ReportView::isDraining(TimePoint now, Duration halfLife) const -> bool
{
    return m_isDraining && now - m_drainingSince <= halfLife * ReportLifetimeHalfLives;
}

auto ReportView::didRefuseDraining(TimePoint now) -> void
{
    m_isDraining = true;
    m_drainingSince = now;
}

} // namespace stairspur::routing
