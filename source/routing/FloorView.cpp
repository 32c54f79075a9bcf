#include "FloorView.h"

#include <algorithm>

namespace stairspur::routing {

/// After this many half-lives nothing is left of a floor that nobody refreshed.
static constexpr auto LifetimeHalfLives = 8;

/// How far a floor falls in each half-life, after the first one.
static constexpr auto FallPerHalfLife = HashesPerClass;

static constexpr auto MaxRanks = std::size_t{MaxClassRank} + 1;

auto FloorView::reportedFloor(FloorKey key) const -> Level
{
    const auto ofPath = floorOfPath(m_pathFloors, key.path);
    if (m_floors.empty())
        return ofPath;
    return std::max(ofPath, key.rank < m_floors.size() ? m_floors[key.rank] : m_floors.back());
}

auto FloorView::heldFloor(FloorKey key) const -> HeldFloor
{
    auto held = HeldFloor{reportedFloor(key), m_reportedAt};
    for (const auto &it : m_refusals) {
        if (it.key == key && it.held.floor >= held.floor)
            held = it.held;
    }
    return held;
}

auto FloorView::take(std::span<const Level> floors, std::vector<PathFloor> pathFloors,
                     TimePoint now) -> void
{
    auto bounded =
            std::vector<Level>(floors.begin(), floors.begin() + std::min(floors.size(), MaxRanks));
    for (auto &it : bounded)
        it = std::min(it, ClosedLevel);
    for (std::size_t rank = 0; rank < MaxRanks; ++rank) {
        const auto reported =
                bounded.empty() ? LowestLevel : bounded[std::min(rank, bounded.size() - 1)];
        if (reported > heldFloor(static_cast<ClassRank>(rank)).floor)
            m_risenAt = now;
    }
    for (auto &it : pathFloors) {
        it.floor = std::min(it.floor, ClosedLevel);
        if (it.floor > floorOfPath(m_pathFloors, it.path))
            m_risenAt = now;
    }
    m_floors = std::move(bounded);
    m_pathFloors = std::move(pathFloors);
    m_reportedAt = now;
    m_refusals.clear();
}

auto FloorView::didRefuse(Level level, TimePoint now, PathKey path) -> void
{
    if (level >= ClosedLevel)
        return;
    if (level >= m_admitted)
        m_admitted = ClosedLevel;
    const auto key = FloorKey(level.rank(), path);
    auto held = heldFloor(key);
    if (held.floor <= level) {
        held.floor = Level{static_cast<std::uint16_t>(level.value + 1)};
        m_risenAt = now;
    }
    held.at = now;
    std::erase_if(m_refusals, [&](const auto &it) { return it.key == key; });
    m_refusals.push_back({key, held});
}

auto FloorView::didAdmit(Level level, TimePoint sentAt, TimePoint now, PathKey path) -> void
{
    if (heldFloor({level.rank(), path}).floor <= level || sentAt < m_risenAt)
        return;
    m_admitted = path == m_admittedPath ? std::min(m_admitted, level) : level;
    m_admittedPath = path;
    m_admittedAt = now;
}

auto FloorView::floorFor(FloorKey key, TimePoint now, Duration halfLife) const -> Level
{
    auto floor = heldFloor(key).floor;
    const auto floorAge = age(key, now);
    if (floorAge > halfLife * LifetimeHalfLives)
        return LowestLevel;
    if (floorAge > halfLife) {
        const auto fall = (floorAge - halfLife).count() * FallPerHalfLife / halfLife.count();
        floor.value = static_cast<std::uint16_t>(std::max<std::int64_t>(0, floor.value - fall));
    }
    const auto isProven = key.path == m_admittedPath && now - m_admittedAt <= halfLife;
    return isProven ? std::min(floor, m_admitted) : floor;
}

auto FloorView::age(FloorKey key, TimePoint now) const -> Duration
{
    return std::max(Duration::zero(), now - heldFloor(key).at);
}

} // namespace stairspur::routing
