#include "DeeperFloors.h"

#include <algorithm>

namespace stairspur::admission {

namespace {

/// Far above the time between two settings, far below what an operator would call an outage.
constexpr auto Lifetime = Duration(1'000'000);

} // namespace

auto DeeperFloors::set(std::vector<Level> floors) -> void
{
    floors.resize(std::min<std::size_t>(floors.size(), MaxClassRank + 1U));
    for (auto &it : floors)
        it = std::min(it, ClosedLevel);
    m_floors = std::move(floors);
    m_firstSeen.reset();
}

auto DeeperFloors::didPassTime(TimePoint now) -> void
{
    if (m_floors.empty())
        return;
    if (!m_firstSeen)
        m_firstSeen = now;
    if (now - *m_firstSeen > Lifetime)
        m_floors.clear();
}

auto DeeperFloors::floorFor(ClassRank rank) const -> Level
{
    if (m_floors.empty())
        return LowestLevel;
    return rank < m_floors.size() ? m_floors[rank] : m_floors.back();
}

auto DeeperFloors::enforcedFloorFor(ClassRank rank) const -> Level
{
    auto floor = floorFor(rank);
    for (auto it = std::size_t{rank} + 1; it < m_floors.size(); ++it)
        floor = std::min(floor, m_floors[it]);
    return floor;
}

} // namespace stairspur::admission
