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

/// Names a way through the call graph: calls of one path go on to the same deeper services.
using PathKey = std::uint32_t;

/// Calls whose path is not told apart from others of their class.
inline constexpr PathKey NoPath = 0;

/// Which floor holds for a call: that of its class, and that of its path where one is known.
struct FloorKey
{
    // Implicit, since a class alone names a floor wherever paths are not told apart.
    constexpr FloorKey(ClassRank ofRank,
                       PathKey ofPath = NoPath) // NOLINT(google-explicit-constructor)
        : rank(ofRank)
        , path(ofPath)
    {}

    ClassRank rank;
    PathKey path;

    auto operator==(const FloorKey &) const -> bool = default;
};

/// The floor that the calls of one path meet below a gate.
struct PathFloor
{
    PathKey path = NoPath;
    Level floor;

    auto operator==(const PathFloor &) const -> bool = default;
};

/// The floor of `path` in a list; the lowest one when the list does not name it.
template <typename List>
constexpr auto floorOfPath(const List &floors, PathKey path) -> Level
{
    if (path != NoPath) {
        for (const auto &it : floors) {
            if (it.path == path)
                return it.floor;
        }
    }
    return LowestLevel;
}

/// Raises the floor of a path in a list, which names each path once.
template <typename List>
constexpr auto raiseFloorOfPath(List &floors, PathFloor raised) -> void
{
    for (auto &it : floors) {
        if (it.path != raised.path)
            continue;
        it.floor = it.floor < raised.floor ? raised.floor : it.floor;
        return;
    }
    floors.push_back(raised);
}

} // namespace stairspur
