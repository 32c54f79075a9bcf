#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// What a gate tells about its backend server with each answer. Reports of one gate are ordered by `sequence`, so that
/// one that arrives late does not replace a newer one.
struct LoadReport
{
    std::uint64_t sequence = 0;
    std::uint32_t limit = 0;    ///< Calls that the gate lets run at once.
    std::uint32_t inFlight = 0; ///< Calls that run now.
    std::uint32_t queued = 0;   ///< Calls that wait for a place.
    Duration estimatedWait{
            0}; ///< How long a call that came now at the lowest admitted level would wait.
    bool isDraining = false; ///< New work is refused.

    /// The lowest level now admitted, for each class rank: this gate's own floor, or the greatest floor among the deeper
    /// services that a call of that class needs, whichever is greater. Ranks past the end have the last one's floor; an
    /// empty list admits all.
    std::vector<Level> floors;

    /// Greater floors of single paths, because of the deeper services that their calls need.
    std::vector<PathFloor> pathFloors{};

    /// Grows with each start of a backend server behind this gate: what was learnt before says nothing of the new one.
    std::uint32_t backendLife = 0;

    /// The floor that a call of this class and path meets.
    [[nodiscard]] auto floorFor(FloorKey key) const -> Level
    {
        const auto ofPath = floorOfPath(pathFloors, key.path);
        if (floors.empty())
            return ofPath;
        return std::max(ofPath, key.rank < floors.size() ? floors[key.rank] : floors.back());
    }
};

} // namespace stairspur::admission
