#pragma once

#include <span>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// After this many half-lives nothing is left of a floor that nobody refreshed.
inline constexpr auto FloorLifetimeHalfLives = 8;

/// What is left of a floor that was told `age` ago: it holds for a half-life, then falls evenly, and is gone after a
/// bounded time.
auto fallenFloor(Level floor, Duration age, Duration halfLife) -> Level;

/// The weight of a floor that was told `age` ago, beside others: 1 for this moment, half of it after each fifth of the
/// half-life of loads (0.1 s by default). Floors follow a surge within some windows of 20 ms, so that one of 0.1 s ago
/// already says less than one of now.
auto freshness(Duration age, Duration halfLife) -> double;

/// The floors of one upstream, as far as its reports and what it did with our calls tell. What it did outranks what it
/// reports; what nobody refreshes falls, and is gone after a bounded time.
class FloorView
{
public:
    /// Takes the floors of a report.
    auto take(std::span<const Level> floors, TimePoint now) -> void { take(floors, {}, now); }
    auto take(std::span<const Level> floors, std::vector<PathFloor> pathFloors, TimePoint now)
            -> void;

    /// The upstream refused a call of `level`: its floor is above it.
    auto didRefuse(Level level, TimePoint now, PathKey path = NoPath) -> void;

    /// The upstream answered a call of `level` that was sent at `sentAt`. When the floor was believed to be above the
    /// call even then, the reports mislead or are old: the level is taken as admitted for a while.
    auto didAdmit(Level level, TimePoint sentAt, TimePoint now, PathKey path = NoPath) -> void;

    /// The floor that a call of this class and path is believed to meet now.
    [[nodiscard]] auto floorFor(FloorKey key, TimePoint now, Duration halfLife) const -> Level;

    /// The same without what the reports tell of single paths: the upstream's own load, as far as this entry knows it.
    [[nodiscard]] auto ownFloorFor(FloorKey key, TimePoint now, Duration halfLife) const -> Level;

    /// The floor that the last report told for a path; the lowest one where it did not name the path.
    [[nodiscard]] auto pathFloor(PathKey path) const -> Level
    {
        return floorOfPath(m_pathFloors, path);
    }

    /// Whether and when the last report came.
    [[nodiscard]] auto hasReported() const -> bool { return m_hasReported; }
    [[nodiscard]] auto reportedAt() const -> TimePoint { return m_reportedAt; }

    /// The lowest level that an answer has lately proven to be admitted on a path, whatever the reports tell.
    [[nodiscard]] auto provenLevel(PathKey path, TimePoint now, Duration halfLife) const -> Level;

    /// How long ago a report, or a refusal of a call of this class, told of the floor.
    [[nodiscard]] auto age(FloorKey key, TimePoint now) const -> Duration;

private:
    struct HeldFloor
    {
        Level floor;
        TimePoint at{};
    };

    /// A refusal tells of its own class and path alone: the other floors stay as old as they are.
    struct Refusal
    {
        FloorKey key;
        HeldFloor held;
    };

    [[nodiscard]] auto rankFloor(ClassRank rank) const -> Level;
    [[nodiscard]] auto reportedFloor(FloorKey key) const -> Level;
    [[nodiscard]] auto heldFloor(FloorKey key) const -> HeldFloor;
    /// `reported` or a refusal's floor, whichever is greater.
    [[nodiscard]] auto heldFloor(FloorKey key, Level reported) const -> HeldFloor;

    std::vector<Level> m_floors; ///< As reported.
    std::vector<PathFloor> m_pathFloors;
    std::vector<Refusal> m_refusals; ///< Since that report, one for each class and path at most.
    bool m_hasReported = false;
    TimePoint m_reportedAt{};
    TimePoint m_risenAt{}; ///< When a floor last rose.
    TimePoint m_admittedAt{};
    PathKey m_admittedPath = NoPath; ///< On other paths the answer proves nothing.
    Level m_admitted = ClosedLevel;  ///< Proven by an answer at m_admittedAt.
};

} // namespace stairspur::routing
