#include "OwnFloorEstimate.h"

#include <algorithm>

namespace stairspur::routing {

/// Part of the upstreams, by the weight of their reports, that may have a lower floor.
static constexpr auto LowestShare = 0.25;

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
              [](const AgedFloor &a, const AgedFloor &b) { return a.floor < b.floor; });
    auto left = 0.0;
    for (const auto &it : floors)
        left += it.weight * LowestShare;
    for (const auto &it : floors) {
        left -= it.weight;
        if (left <= 0)
            return it.floor;
    }
    return LowestLevel;
}

} // namespace stairspur::routing
