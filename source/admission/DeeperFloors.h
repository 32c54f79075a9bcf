#pragma once

#include <optional>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// Keeps the floors that the deeper services report, by class rank and by path. They expire unless they are set again,
/// since the service that reported them may have stopped.
class DeeperFloors
{
public:
    /// Replaces all floors. Values above ClosedLevel count as ClosedLevel.
    auto set(std::vector<Level> floors, std::vector<PathFloor> pathFloors = {}) -> void;

    /// Removes the floors when they were not set again for a second.
    auto advanceTo(TimePoint now) -> void;

    /// Returns the floor of one class as it was reported. Ranks past the end have the floor of the last one.
    [[nodiscard]] auto floorFor(ClassRank rank) const -> Level;

    /// Returns the paths whose floor is above `floor`.
    [[nodiscard]] auto pathsAbove(Level floor) const -> std::vector<PathFloor>;

    /// Returns the floor to enforce on one class: the smallest of the floors of this class and all less important classes.
    /// A floor for an important class alone is either wrong or belongs to another path, and must not refuse the important
    /// class while this gate admits less important ones. The floor of a path itself is enforced unchanged, since the
    /// calls of that path do reach the service that reported it.
    [[nodiscard]] auto enforcedFloorFor(FloorKey key) const -> Level;

    /// Returns the number of classes with a reported floor.
    [[nodiscard]] auto size() const -> std::size_t { return m_floors.size(); }

private:
    std::vector<Level> m_floors;
    std::vector<PathFloor> m_pathFloors;
    std::optional<TimePoint> m_firstUsedAt; ///< Time at which the current floors were first used.
};

} // namespace stairspur::admission
