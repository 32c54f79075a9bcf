#pragma once

#include <optional>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// What the services below tell, by class rank. It lapses unless it is told again, since whoever told it may be gone.
class DeeperFloors
{
public:
    auto set(std::vector<Level> floors, std::vector<PathFloor> pathFloors = {}) -> void;

    /// Forgets floors that have not been told again for a while.
    auto didPassTime(TimePoint now) -> void;

    /// The floor of one class, as it was told. Ranks past the end have the last one's.
    [[nodiscard]] auto floorFor(ClassRank rank) const -> Level;

    /// The paths whose floor is above `floor`.
    [[nodiscard]] auto pathsAbove(Level floor) const -> std::vector<PathFloor>;

    /// The floor to enforce on one class: the smallest floor of this class and all below. A floor that names an
    /// important class alone is a lie or lies on another path, and must not shut out the important class while
    /// lower ones pass this gate. A path's own floor is known to be on its way and holds as it is.
    [[nodiscard]] auto enforcedFloorFor(FloorKey key) const -> Level;

    /// Number of classes that were told of.
    [[nodiscard]] auto size() const -> std::size_t { return m_floors.size(); }

private:
    std::vector<Level> m_floors;
    std::vector<PathFloor> m_pathFloors;
    std::optional<TimePoint> m_firstSeen; ///< When the present floors were first used.
};

} // namespace stairspur::admission
