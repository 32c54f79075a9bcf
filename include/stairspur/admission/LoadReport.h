#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include <stairspur/admission/BackendStatement.h>
#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// State of a backend server, which its gate sends with each answer. Reports of one gate are ordered by `sequence`, so
/// that a late report does not replace a newer one.
struct LoadReport
{
    std::uint64_t sequence = 0;
    std::uint32_t limit = 0;    ///< Calls that may run at once.
    std::uint32_t inFlight = 0; ///< Calls that currently run.
    std::uint32_t queued = 0;   ///< Calls that wait for a slot.
    /// Expected wait of a call that arrives now at the lowest admitted level.
    Duration estimatedWait{0};
    bool isDraining = false; ///< Whether new calls are refused.

    /// Lowest level that is currently admitted, by class rank: the maximum of this gate's own floor and the floors of the
    /// deeper services that a call of that class needs. Ranks past the end have the floor of the last entry; an empty
    /// list admits all calls.
    std::vector<Level> floors;

    /// Floors of single paths that are greater than those of the class, because of the deeper services that their calls
    /// need.
    std::vector<PathFloor> pathFloors{};

    /// Number that grows with each start of the backend server behind this gate. Measurements of an earlier process
    /// instance don't apply to a later one.
    std::uint32_t backendIncarnation = 0;

    /// What the backend server states about itself; nothing while the gate knows no answer of it.
    std::optional<InstanceStatement> statement{};

    /// Returns the floor for calls of this class and path.
    [[nodiscard]] auto floorFor(FloorKey key) const -> Level
    {
        const auto pathFloor = floorOfPath(pathFloors, key.path);
        if (floors.empty())
            return pathFloor;
        return std::max(pathFloor, key.rank < floors.size() ? floors[key.rank] : floors.back());
    }
};

} // namespace stairspur::admission
