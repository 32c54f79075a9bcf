#include "FloorView.h"

#include <algorithm>

namespace stairspur::routing {

/// After this many half-lives nothing is left of a floor that nobody refreshed.
static constexpr auto LifetimeHalfLives = 8;

/// How far a floor falls in each half-life, after the first one.
static constexpr auto FallPerHalfLife = HashesPerClass;

static constexpr auto MaxRanks = std::size_t{MaxClassRank} + 1;

auto FloorView::heldFloor(ClassRank rank) const -> Level
{
    if (m_floors.empty())
        return LowestLevel;
    return rank < m_floors.size() ? m_floors[rank] : m_floors.back();
}

auto FloorView::take(std::span<const Level> floors, TimePoint now) -> void
{
    auto bounded =
            std::vector<Level>(floors.begin(), floors.begin() + std::min(floors.size(), MaxRanks));
    for (auto &it : bounded)
        it = std::min(it, ClosedLevel);
    const auto before = std::move(m_floors);
    m_floors = std::move(bounded);
    m_refreshedAt = now;
    for (std::size_t rank = 0; rank < MaxRanks; ++rank) {
        const auto old = before.empty() ? LowestLevel : before[std::min(rank, before.size() - 1)];
        if (heldFloor(static_cast<ClassRank>(rank)) > old)
            m_risenAt = now;
    }
}

auto FloorView::didRefuse(Level level, TimePoint now) -> void
{
    if (level >= ClosedLevel)
        return;
    const auto rank = level.rank();
    const auto above = Level{static_cast<std::uint16_t>(level.value + 1)};
    m_refreshedAt = now;
    if (level >= m_admitted)
        m_admitted = ClosedLevel;
    if (heldFloor(rank) >= above)
        return;
    // One entry more than the rank, so that the lower classes keep the floor that they had.
    const auto last = heldFloor(MaxClassRank);
    m_floors.resize(std::clamp(m_floors.size(), std::size_t{rank} + 2, MaxRanks + 1), last);
    m_floors[rank] = above;
    m_risenAt = now;
}

auto FloorView::didAdmit(Level level, TimePoint sentAt, TimePoint now) -> void
{
    if (heldFloor(level.rank()) <= level || sentAt < m_risenAt)
        return;
    m_admitted = std::min(m_admitted, level);
    m_admittedAt = now;
}

auto FloorView::floorFor(ClassRank rank, TimePoint now, Duration halfLife) const -> Level
{
    const auto age = std::max(Duration::zero(), now - m_refreshedAt);
    if (age > halfLife * LifetimeHalfLives)
        return LowestLevel;
    auto floor = heldFloor(rank);
    if (age > halfLife) {
        const auto fall = (age - halfLife).count() * FallPerHalfLife / halfLife.count();
        floor.value = static_cast<std::uint16_t>(std::max<std::int64_t>(0, floor.value - fall));
    }
    const auto isProofFresh = now - m_admittedAt <= halfLife;
    return isProofFresh ? std::min(floor, m_admitted) : floor;
}

auto FloorView::isFresh(TimePoint now, Duration halfLife) const -> bool
{
    return now - m_refreshedAt <= halfLife;
}

} // namespace stairspur::routing
