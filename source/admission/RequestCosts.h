#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

#include "ServiceTime.h"

namespace stairspur::admission {

/// What whole requests cost at one backend server, by kind: class and path of the calls that they make here.
///
/// Requests of one class pay the same, but one may take ten times the places of another where places are short. Under
/// overload each dear one that is refused there lets several cheap ones through. So a part of the levels of a dear kind
/// yields to all others of the class; the rest stays, so that no kind starves.
class RequestCosts
{
public:
    /// A call came. `callsPerRoot`: how many calls of this kind its root request makes altogether.
    auto didOffer(FloorKey kind, std::uint32_t callsPerRoot, TimePoint now) -> void;

    /// A call of this kind held a place for `latency`.
    auto didMeasure(FloorKey kind, Duration latency) -> void;

    /// The mean time that a call of this kind holds a place; `otherwise` until it is known.
    [[nodiscard]] auto serviceTimeOf(FloorKey kind, Duration otherwise) const -> Duration;

    /// How many of the lowest levels of this kind yield, of HashesPerClass.
    [[nodiscard]] auto yieldingLevelsOf(FloorKey kind) const -> std::uint32_t;

    /// The paths of this class of which some levels yield.
    [[nodiscard]] auto yieldingPathsOf(ClassRank rank) const -> std::vector<PathKey>;

    /// Forgets kinds that have not come for a while, and judges the others anew.
    auto didPassTime(TimePoint now) -> void;

    /// Another backend server: nothing that was measured holds for it.
    auto clear() -> void { m_kinds.clear(); }

private:
    struct Cost
    {
        ServiceTime serviceTime;
        std::uint32_t measured = 0; ///< Calls whose time is in the mean; not counted past enough.
        std::uint32_t callsPerRoot = 1;
        std::uint32_t yielding = 0;
        TimePoint lastOffered{};
    };

    struct KindHash
    {
        auto operator()(const FloorKey &it) const -> std::size_t
        {
            return (std::size_t{it.path} << 8U) ^ it.rank;
        }
    };

    [[nodiscard]] static auto isKnown(const Cost &cost) -> bool;
    [[nodiscard]] static auto perRoot(const Cost &cost) -> double;
    [[nodiscard]] auto leastOf(ClassRank rank) const -> double;

    std::unordered_map<FloorKey, Cost, KindHash> m_kinds;
    TimePoint m_judgedAt{};
};

} // namespace stairspur::admission
