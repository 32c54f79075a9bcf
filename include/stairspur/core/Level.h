#pragma once

#include <compare>
#include <cstdint>

namespace stairspur {

/// Ranks of priority classes: 0 is the most important class of the configuration.
using ClassRank = std::uint8_t;

inline constexpr ClassRank MaxClassRank = 31;
inline constexpr std::uint32_t HashesPerClass = 128;

/// How important a call is. A greater level is served first and refused last.
///
/// The class decides; inside a class a hash of the root request's id decides, so that every service of a call graph
/// sheds the same requests and no work done upstream of a refusal is wasted (known from DAGOR, Zhou et al., SoCC 2018).
struct Level
{
    std::uint16_t value = 0;

    auto operator<=>(const Level &) const = default;

    /// The class that a level belongs to.
    [[nodiscard]] constexpr auto rank() const -> ClassRank
    {
        return static_cast<ClassRank>(MaxClassRank - value / HashesPerClass);
    }
};

/// The floor that admits every call.
inline constexpr auto LowestLevel = Level{0};

/// One above the greatest level of any call: the floor that admits none.
inline constexpr auto ClosedLevel = Level{(MaxClassRank + 1) * HashesPerClass};

/// The level of a call of class `rank` whose root id hashes to `hash` (taken modulo 128).
constexpr auto makeLevel(ClassRank rank, std::uint64_t hash) -> Level
{
    return Level{static_cast<std::uint16_t>((MaxClassRank - rank) * HashesPerClass
                                            + hash % HashesPerClass)};
}

} // namespace stairspur
