#include "OutlierEjection.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

static constexpr std::uint32_t ConsecutiveFailuresToEject = 5;
static constexpr std::uint32_t AttemptsToJudgeRate = 20;
static constexpr auto RateBelowPool = 0.3;

/// Ejections double up to base x 2^5.
static constexpr std::uint32_t MaxDoublings = 5;

/// An upstream that stayed in for this many times the longest ejection starts from the base again.
static constexpr auto GoodBehaviourFactor = 2;

auto OutlierEjection::isOutlier(const OutcomeView &outcomes, double poolRate, TimePoint now,
                                Duration recovery) -> bool
{
    if (outcomes.consecutiveFailures() >= ConsecutiveFailuresToEject)
        return true;
    return outcomes.attempts() >= AttemptsToJudgeRate
           && outcomes.successRate(now, recovery) < poolRate - RateBelowPool;
}

auto OutlierEjection::maxEjected(std::size_t upstreams, double maxShare) -> std::size_t
{
    if (upstreams <= 1)
        return 0;
    const auto share = static_cast<std::size_t>(static_cast<double>(upstreams)
                                                * std::clamp(maxShare, 0.0, 1.0));
    return std::min(share, upstreams - 1);
}

auto OutlierEjection::eject(TimePoint now, Duration base) -> void
{
    const auto longest = base * (1U << MaxDoublings);
    if (now - m_until > longest * GoodBehaviourFactor)
        m_inARow = 0;
    m_until = now + base * (1U << std::min(m_inARow, MaxDoublings));
    ++m_inARow;
}

} // namespace stairspur::routing
