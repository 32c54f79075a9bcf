#include "DeeperFloors.h"

#include <algorithm>

namespace stairspur::admission {

namespace {

/// Time after which floors expire. It is far above the time between two calls of set(), and far below the length of an
/// outage that an operator would notice.
constexpr auto Lifetime = Duration(1'000'000);

} // namespace

auto DeeperFloors::set(std::vector<Level> floors, std::vector<PathFloor> pathFloors) -> void
{
    for (auto &it : pathFloors)
        it.floor = std::min(it.floor, ClosedLevel);
    m_pathFloors = std::move(pathFloors);
    floors.resize(std::min<std::size_t>(floors.size(), MaxClassRank + 1U));
    for (auto &it : floors)
        it = std::min(it, ClosedLevel);
    m_floors = std::move(floors);
    m_firstUsedAt.reset();
}

auto DeeperFloors::advanceTo(TimePoint now) -> void
{
    if (m_floors.empty() && m_pathFloors.empty())
        return;
    if (!m_firstUsedAt)
        m_firstUsedAt = now;
    if (now - *m_firstUsedAt <= Lifetime)
        return;
    m_floors.clear();
    m_pathFloors.clear();
}

auto DeeperFloors::floorFor(ClassRank rank) const -> Level
{
    if (m_floors.empty())
        return LowestLevel;
    return rank < m_floors.size() ? m_floors[rank] : m_floors.back();
}

auto DeeperFloors::pathsAbove(Level floor) const -> std::vector<PathFloor>
{
    auto paths = m_pathFloors;
    std::erase_if(paths, [floor](const PathFloor &it) { return it.floor <= floor; });
    return paths;
}

auto DeeperFloors::enforcedFloorFor(FloorKey key) const -> Level
{
    auto floor = floorFor(key.rank);
    for (auto it = std::size_t{key.rank} + 1; it < m_floors.size(); ++it)
        floor = std::min(floor, m_floors[it]);
    return std::max(floor, floorOfPath(m_pathFloors, key.path));
}

} // namespace stairspur::admission
