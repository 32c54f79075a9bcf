#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

#include "ServiceTime.h"

namespace stairspur::admission {

/// Measures the cost of requests at one backend server, by kind: the class and path of the calls that they make here.
///
/// Requests of one class have equal value, but one may occupy ten times the slots of another where slots are scarce.
/// Under overload, each expensive request that is refused there makes room for several cheap ones. So a part of the
/// levels of an expensive kind yields to all others of the class. The rest keeps its order, so that no kind starves.
class RequestCosts
{
public:
    /// Records that a call arrived. `callsPerRoot` is the total of the calls of this kind that its root request makes.
    auto didOffer(FloorKey kind, std::uint32_t callsPerRoot, TimePoint now) -> void;

    /// Records that a call of this kind occupied a slot for `latency`.
    auto didMeasure(FloorKey kind, Duration latency) -> void;

    /// Returns the mean time for which a call of this kind occupies a slot; `fallback` until enough calls were measured.
    [[nodiscard]] auto serviceTimeOf(FloorKey kind, Duration fallback) const -> Duration;

    /// Returns how many of the lowest levels of this kind yield, out of HashesPerClass.
    [[nodiscard]] auto yieldingLevelsOf(FloorKey kind) const -> std::uint32_t;

    /// Returns the paths of this class with yielding levels.
    [[nodiscard]] auto yieldingPathsOf(ClassRank rank) const -> std::vector<PathKey>;

    /// Removes the kinds that had no calls for a while, and updates the yielding levels of the others.
    auto advanceTo(TimePoint now) -> void;

    /// Discards all measurements, since they don't apply to another backend server.
    auto clear() -> void { m_kinds.clear(); }

private:
    struct Cost
    {
        ServiceTime serviceTime;
        std::uint32_t measuredCalls = 0; ///< Calls in the mean, counted up to MinMeasuredCalls.
        std::uint32_t callsPerRoot = 1;
        std::uint32_t yieldingLevels = 0;
        TimePoint lastOffered{};
    };

    struct KindHash
    {
        auto operator()(const FloorKey &it) const -> std::size_t
        {
            return (std::size_t{it.path} << 8U) ^ it.rank;
        }
    };

    [[nodiscard]] static auto hasMean(const Cost &cost) -> bool;
    [[nodiscard]] static auto costPerRootRequest(const Cost &cost) -> double;
    [[nodiscard]] auto lowestCostOf(ClassRank rank) const -> double;

    std::unordered_map<FloorKey, Cost, KindHash> m_kinds;
    TimePoint m_updatedAt{};
};

} // namespace stairspur::admission
