#pragma once

#include <span>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// The floors of one upstream, as far as its reports and what it did with our calls tell. What it did outranks what it
/// reports; what nobody refreshes falls, and is gone after a bounded time.
class FloorView
{
public:
    /// Takes the floors of a report.
    auto take(std::span<const Level> floors, TimePoint now) -> void;

    /// The upstream refused a call of `level`: its floor is above it.
    auto didRefuse(Level level, TimePoint now) -> void;

    /// The upstream answered a call of `level` that was sent at `sentAt`. When the floor was believed to be above the
    /// call even then, the reports mislead or are old: the level is taken as admitted for a while.
    auto didAdmit(Level level, TimePoint sentAt, TimePoint now) -> void;

    /// The floor that a call of class `rank` is believed to meet now.
    [[nodiscard]] auto floorFor(ClassRank rank, TimePoint now, Duration halfLife) const -> Level;

    /// Whether the floors are young enough to refuse calls by.
    [[nodiscard]] auto isFresh(TimePoint now, Duration halfLife) const -> bool;

private:
    [[nodiscard]] auto heldFloor(ClassRank rank) const -> Level;

    std::vector<Level> m_floors;
    TimePoint m_refreshedAt{};
    TimePoint m_risenAt{}; ///< When a floor last rose.
    TimePoint m_admittedAt{};
    Level m_admitted = ClosedLevel; ///< Proven by an answer at m_admittedAt.
};

} // namespace stairspur::routing
