#include "PathFloorEstimate.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

PathFloorEstimate::PathFloorEstimate(FloorKey key, TimePoint now, Duration halfLife)
    : m_key(key)
    , m_now(now)
    , m_halfLife(halfLife)
{}

auto PathFloorEstimate::weightOf(const UpstreamView &view) const -> double
{
    return freshness(m_now - view.floors().reportedAt(), m_halfLife);
}

auto PathFloorEstimate::include(const UpstreamView &view) -> void
{
    if (!view.floors().hasReported())
        return;
    const auto reportedAt = view.floors().reportedAt();
    if (m_now - reportedAt > m_halfLife * FloorLifetimeHalfLives)
        return;
    m_latestReportAt = std::max(m_latestReportAt.value_or(reportedAt), reportedAt);
    const auto floor = view.floors().pathFloor(m_key.path);
    if (floor >= ClosedLevel)
        return;
    // Floors below the class are raised to its lowest level, so that they don't pull the mean below the class.
    const auto level = std::max(floor, makeLevel(m_key.rank, 0));
    const auto weight = weightOf(view);
    m_weights += weight;
    m_weightedLevels += weight * level.value;
}

auto PathFloorEstimate::mean() const -> Level
{
    if (!m_latestReportAt)
        return LowestLevel;
    if (m_weights <= 0)
        return ClosedLevel;
    const auto level = Level{static_cast<std::uint16_t>(std::lround(m_weightedLevels / m_weights))};
    return level > makeLevel(m_key.rank, 0) ? level : LowestLevel;
}

auto PathFloorEstimate::floor() const -> Level
{
    if (!m_latestReportAt)
        return LowestLevel;
    return decayedFloor(mean(), m_now - *m_latestReportAt, m_halfLife);
}

auto PathFloorEstimate::floorOf(const UpstreamView &view) const -> Level
{
    /// From this weight on, only the upstream's own report decides whether its path is closed.
    static constexpr auto DecisiveWeight = 0.5;
    if (!view.floors().hasReported())
        return floor();
    const auto pooled = floor();
    const auto own = view.floors().pathFloor(m_key.path);
    const auto weight = weightOf(view);
    if (own >= ClosedLevel || pooled >= ClosedLevel)
        return weight >= DecisiveWeight ? own : pooled;
    const auto lowestOfClass = makeLevel(m_key.rank, 0);
    const auto level = weight * std::max(own, lowestOfClass).value
                       + (1.0 - weight) * std::max(pooled, lowestOfClass).value;
    return Level{static_cast<std::uint16_t>(std::lround(level))};
}

auto PathFloorEstimate::age() const -> std::optional<Duration>
{
    if (!m_latestReportAt)
        return std::nullopt;
    return std::max(Duration::zero(), m_now - *m_latestReportAt);
}

} // namespace stairspur::routing
