#pragma once

#include <compare>
#include <cstdint>

namespace stairspur {

/// Rank of a priority class. 0 is the most important class of the configuration.
using ClassRank = std::uint8_t;

inline constexpr ClassRank MaxClassRank = 31;
inline constexpr std::uint32_t HashesPerClass = 128;

/// Importance of a call. A call with a greater level is served first and refused last.
///
/// Calls are ordered by class, and within a class by a hash of the root request's id, so that every service of a call
/// graph sheds the same requests and no work done upstream of a refusal is wasted (DAGOR, Zhou et al., SoCC 2018).
struct Level
{
    std::uint16_t value = 0;

    auto operator<=>(const Level &) const = default;

    /// Returns the rank of the class that the level belongs to.
    [[nodiscard]] constexpr auto rank() const -> ClassRank
    {
        return static_cast<ClassRank>(MaxClassRank - value / HashesPerClass);
    }
};

/// The floor that admits every call.
inline constexpr auto LowestLevel = Level{0};

/// The floor that admits no call: one above the greatest level of any call.
inline constexpr auto ClosedLevel = Level{(MaxClassRank + 1) * HashesPerClass};

/// Returns the level of a call of class `rank` whose root id has this hash (taken modulo HashesPerClass, 128).
constexpr auto makeLevel(ClassRank rank, std::uint64_t hash) -> Level
{
    return Level{static_cast<std::uint16_t>((MaxClassRank - rank) * HashesPerClass
                                            + hash % HashesPerClass)};
}

/// Identifies a path through the call graph. Calls of one path call the same deeper services.
using PathKey = std::uint32_t;

/// Key of calls that aren't distinguished by path from others of their class.
inline constexpr PathKey NoPath = 0;

/// Selects the floor of a call: the floor of its class, and that of its path where one is recorded.
struct FloorKey
{
    // The conversion is implicit, since a class alone selects a floor wherever paths aren't distinguished.
    constexpr FloorKey(ClassRank ofRank,
                       PathKey ofPath = NoPath) // NOLINT(google-explicit-constructor)
        : rank(ofRank)
        , path(ofPath)
    {}

    ClassRank rank;
    PathKey path;

    auto operator==(const FloorKey &) const -> bool = default;
};

/// Floor that applies to the calls of one path downstream of a gate.
struct PathFloor
{
    PathKey path = NoPath;
    Level floor;

    auto operator==(const PathFloor &) const -> bool = default;
};

/// Returns the floor of `path` in `floors`, or LowestLevel when the list doesn't contain the path.
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

/// Raises the floor of a path in `floors`, which contains each path at most once. Adds the path when it is missing.
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
