#include "LoadEstimate.h"

#include <algorithm>

namespace stairspur::routing {

/// Lower bound of the success rate that a load is divided by; it keeps the load of a failing upstream finite.
static constexpr auto MinSuccessRate = 0.02;

auto LoadEstimate::include(const UpstreamView &view) -> void
{
    const auto confidence = view.reports().confidence(m_now, m_halfLife);
    m_weights += confidence;
    m_weightedLoads += confidence * view.reports().othersLoad();
}

auto LoadEstimate::loadOf(const UpstreamView &view) const -> double
{
    const auto mean = m_weights > 0 ? m_weightedLoads / m_weights : 0.0;
    const auto confidence = view.reports().confidence(m_now, m_halfLife);
    const auto others = confidence * view.reports().othersLoad() + (1.0 - confidence) * mean;
    const auto own = static_cast<double>(view.inFlight() + 1)
                     / static_cast<double>(view.limit(m_now, m_halfLife));
    const auto rate = std::max(MinSuccessRate, view.outcomes().successRate(m_now, m_recovery));
    return (others + own) / rate;
}

auto LoadEstimate::expectedTime(const UpstreamView &view) const -> Duration
{
    const auto confidence = view.reports().confidence(m_now, m_halfLife);
    const auto wait = static_cast<double>(view.reports().estimatedWait().count()) * confidence;
    return Duration{static_cast<Duration::rep>(wait)} + view.outcomes().minLatency();
}

} // namespace stairspur::routing
