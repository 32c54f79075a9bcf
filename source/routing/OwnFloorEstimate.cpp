#include "OwnFloorEstimate.h"

#include <algorithm>

namespace stairspur::routing {

/// Share of the upstreams, by the weight of their reports, that may have a lower floor than the estimate.
static constexpr auto LowerQuartile = 0.25;

auto OwnFloorEstimate::include(const UpstreamView &view) -> void
{
    const auto age = view.floors().age(m_key, m_now);
    if (age > m_halfLife)
        return;
    m_floors.push_back(
            {view.floors().ownFloorFor(m_key, m_now, m_halfLife), freshness(age, m_halfLife)});
}

auto OwnFloorEstimate::floor() const -> Level
{
    auto floors = m_floors;
    std::sort(floors.begin(), floors.end(),
              [](const WeightedFloor &a, const WeightedFloor &b) { return a.floor < b.floor; });
    auto remainingWeight = 0.0;
    for (const auto &it : floors)
        remainingWeight += it.weight * LowerQuartile;
    for (const auto &it : floors) {
        remainingWeight -= it.weight;
        if (remainingWeight <= 0)
            return it.floor;
    }
    return LowestLevel;
}

} // namespace stairspur::routing
