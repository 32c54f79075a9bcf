#include "OutcomeView.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

/// Weight of one attempt in the smoothed success rate: about the last ten attempts count.
static constexpr auto AttemptWeight = 0.1F;

/// From this many failures in a row on, each weighs more: nothing speaks for the upstream any more.
static constexpr std::uint32_t FailuresOfARow = 3;
static constexpr auto RowWeight = 0.5F;

/// By this share the least latency may rise with each answer, so that a moved upstream is noticed.
static constexpr auto LatencyRiseDivisor = 64;

auto OutcomeView::didSucceed(Duration latency, TimePoint now) -> void
{
    const auto bounded = std::max(latency, Duration{1});
    const auto risen = m_leastLatency + m_leastLatency / LatencyRiseDivisor + Duration{1};
    m_leastLatency = m_leastLatency == Duration::zero() ? bounded : std::min(bounded, risen);
    m_successRate += AttemptWeight * (1.0F - m_successRate);
    m_consecutiveFailures = 0;
    ++m_attempts;
    m_endedAt = now;
}

auto OutcomeView::didFail(TimePoint now) -> void
{
    ++m_consecutiveFailures;
    const auto isRow = m_consecutiveFailures >= FailuresOfARow;
    m_successRate -= (isRow ? RowWeight : AttemptWeight) * m_successRate;
    ++m_attempts;
    m_endedAt = now;
}

auto OutcomeView::successRate(TimePoint now, Duration recovery) const -> double
{
    if (m_attempts == 0)
        return 1.0;
    const auto age = std::max(Duration::zero(), now - m_endedAt);
    const auto decay = std::exp2(-static_cast<double>(age.count())
                                 / static_cast<double>(std::max(recovery, Duration{1}).count()));
    return 1.0 - (1.0 - m_successRate) * decay;
}

auto OutcomeView::forgetFailures() -> void
{
    m_successRate = 1;
    m_consecutiveFailures = 0;
    m_attempts = 0;
}

} // namespace stairspur::routing
