#include "FloorView.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

/// Amount by which a floor decays in each half-life after the first one.
static constexpr auto DecayPerHalfLife = HashesPerClass;

static constexpr auto MaxRanks = std::size_t{MaxClassRank} + 1;

auto decayedFloor(Level floor, Duration age, Duration halfLife) -> Level
{
    if (age <= halfLife)
        return floor;
    if (age > halfLife * FloorLifetimeHalfLives)
        return LowestLevel;
    const auto decay = (age - halfLife).count() * DecayPerHalfLife / halfLife.count();
    return Level{static_cast<std::uint16_t>(std::max<std::int64_t>(0, floor.value - decay))};
}

auto freshness(Duration age, Duration halfLife) -> double
{
    static constexpr auto WeightHalfLifeDivisor = 5;
    const auto weightHalfLife = static_cast<double>(halfLife.count()) / WeightHalfLifeDivisor;
    return std::exp2(-static_cast<double>(std::max(age, Duration::zero()).count())
                     / weightHalfLife);
}

auto FloorView::rankFloor(ClassRank rank) const -> Level
{
    if (m_floors.empty())
        return LowestLevel;
    return rank < m_floors.size() ? m_floors[rank] : m_floors.back();
}

auto FloorView::reportedFloor(FloorKey key) const -> Level
{
    return std::max(pathFloor(key.path), rankFloor(key.rank));
}

auto FloorView::currentFloor(FloorKey key) const -> CurrentFloor
{
    return currentFloor(key, reportedFloor(key));
}

auto FloorView::currentFloor(FloorKey key, Level reported) const -> CurrentFloor
{
    auto current = CurrentFloor{reported, m_reportedAt};
    for (const auto &it : m_refusals) {
        if (it.key == key && it.current.floor >= current.floor)
            current = it.current;
    }
    return current;
}

auto FloorView::update(std::span<const Level> floors, std::vector<PathFloor> pathFloors,
                       TimePoint now) -> void
{
    auto bounded =
            std::vector<Level>(floors.begin(), floors.begin() + std::min(floors.size(), MaxRanks));
    for (auto &it : bounded)
        it = std::min(it, ClosedLevel);
    for (std::size_t rank = 0; rank < MaxRanks; ++rank) {
        const auto reported =
                bounded.empty() ? LowestLevel : bounded[std::min(rank, bounded.size() - 1)];
        if (reported > currentFloor(static_cast<ClassRank>(rank)).floor)
            m_lastRiseAt = now;
    }
    for (auto &it : pathFloors) {
        it.floor = std::min(it.floor, ClosedLevel);
        if (it.floor > floorOfPath(m_pathFloors, it.path))
            m_lastRiseAt = now;
    }
    m_floors = std::move(bounded);
    m_pathFloors = std::move(pathFloors);
    m_reportedAt = now;
    m_hasReported = true;
    m_refusals.clear();
}

auto FloorView::didRefuse(Level level, TimePoint now, PathKey path) -> void
{
    if (level >= ClosedLevel)
        return;
    if (level >= m_admitted)
        m_admitted = ClosedLevel;
    const auto key = FloorKey(level.rank(), path);
    auto current = currentFloor(key);
    if (current.floor <= level) {
        current.floor = Level{static_cast<std::uint16_t>(level.value + 1)};
        m_lastRiseAt = now;
    }
    current.at = now;
    std::erase_if(m_refusals, [&](const auto &it) { return it.key == key; });
    m_refusals.push_back({key, current});
}

auto FloorView::didAdmit(Level level, TimePoint sentAt, TimePoint now, PathKey path) -> void
{
    if (currentFloor({level.rank(), path}).floor <= level || sentAt < m_lastRiseAt)
        return;
    m_admitted = path == m_admittedPath ? std::min(m_admitted, level) : level;
    m_admittedPath = path;
    m_admittedAt = now;
}

auto FloorView::floorFor(FloorKey key, TimePoint now, Duration halfLife) const -> Level
{
    const auto floor = decayedFloor(currentFloor(key).floor, age(key, now), halfLife);
    return std::min(floor, provenLevel(key.path, now, halfLife));
}

auto FloorView::ownFloorFor(FloorKey key, TimePoint now, Duration halfLife) const -> Level
{
    const auto current = currentFloor(key, rankFloor(key.rank));
    const auto floor = decayedFloor(current.floor, now - current.at, halfLife);
    return std::min(floor, provenLevel(key.path, now, halfLife));
}

auto FloorView::provenLevel(PathKey path, TimePoint now, Duration halfLife) const -> Level
{
    const auto isProven = path == m_admittedPath && now - m_admittedAt <= halfLife;
    return isProven ? m_admitted : ClosedLevel;
}

auto FloorView::age(FloorKey key, TimePoint now) const -> Duration
{
    return std::max(Duration::zero(), now - currentFloor(key).at);
}

} // namespace stairspur::routing
