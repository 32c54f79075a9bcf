#include "OutlierEjection.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

/// Number of consecutive failures from which on an upstream is an outlier.
static constexpr std::uint32_t ConsecutiveFailuresToEject = 5;
/// Number of attempts from which on the success rate of an upstream is compared with the pool's.
static constexpr std::uint32_t MinAttemptsForRate = 20;
/// Difference by which the success rate of an outlier is below the pool's.
static constexpr auto RateGapToEject = 0.3;

/// The length of ejections doubles up to base x 2^5.
static constexpr std::uint32_t MaxDoublings = 5;

/// After this many times the longest ejection without a new one, the next ejection has the base length again.
static constexpr auto EjectionResetFactor = 2;

auto OutlierEjection::isOutlier(const OutcomeView &outcomes, double poolSuccessRate, TimePoint now,
                                Duration recovery) -> bool
{
    if (outcomes.consecutiveFailures() >= ConsecutiveFailuresToEject)
        return true;
    return outcomes.attempts() >= MinAttemptsForRate
           && outcomes.successRate(now, recovery) < poolSuccessRate - RateGapToEject;
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
    if (now - m_until > longest * EjectionResetFactor)
        m_consecutiveEjections = 0;
    m_until = now + base * (1U << std::min(m_consecutiveEjections, MaxDoublings));
    ++m_consecutiveEjections;
}

} // namespace stairspur::routing
