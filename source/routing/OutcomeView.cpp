#include "OutcomeView.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

/// Weight of one attempt in the smoothed success rate, which thus covers about the last ten attempts.
static constexpr auto AttemptWeight = 0.1F;

/// From this many consecutive failures on, each failure has the greater ConsecutiveFailureWeight, because no recent
/// attempt succeeded.
static constexpr std::uint32_t ConsecutiveFailuresThreshold = 3;
static constexpr auto ConsecutiveFailureWeight = 0.5F;

/// Divisor for the share by which the minimum latency may rise with each answer. The rise lets the value follow an upstream
/// that has moved further away.
static constexpr auto LatencyRiseDivisor = 64;

/// Number of recovery times without an attempt after which failures no longer count.
static constexpr auto FailureLifetime = 4;

auto OutcomeView::didSucceed(Duration latency, TimePoint now) -> void
{
    const auto bounded = std::max(latency, Duration{1});
    const auto risen = m_minLatency + m_minLatency / LatencyRiseDivisor + Duration{1};
    m_minLatency = m_minLatency == Duration::zero() ? bounded : std::min(bounded, risen);
    m_successRate += AttemptWeight * (1.0F - m_successRate);
    m_consecutiveFailures = 0;
    ++m_attempts;
    m_endedAt = now;
}

auto OutcomeView::didFail(TimePoint now) -> void
{
    ++m_consecutiveFailures;
    const auto isConsecutive = m_consecutiveFailures >= ConsecutiveFailuresThreshold;
    m_successRate -= (isConsecutive ? ConsecutiveFailureWeight : AttemptWeight) * m_successRate;
    ++m_attempts;
    m_endedAt = now;
}

auto OutcomeView::successRate(TimePoint now, Duration recovery) const -> double
{
    if (m_attempts == 0)
        return 1.0;
    const auto age = std::max(Duration::zero(), now - m_endedAt);
    // The remainder would keep the upstream behind idle ones for good.
    if (age > recovery * FailureLifetime)
        return 1.0;
    const auto decay = std::exp2(-static_cast<double>(age.count())
                                 / static_cast<double>(std::max(recovery, Duration{1}).count()));
    return 1.0 - (1.0 - m_successRate) * decay;
}

auto OutcomeView::resetFailures() -> void
{
    m_successRate = 1;
    m_consecutiveFailures = 0;
    m_attempts = 0;
}

} // namespace stairspur::routing
