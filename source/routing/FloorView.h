#pragma once

#include <span>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// Number of half-lives after which a floor without a new report no longer applies.
inline constexpr auto FloorLifetimeHalfLives = 8;

/// Returns the remaining value of a floor that was reported `age` ago. It stays the same for one half-life, then decays
/// linearly, and is the lowest level after FloorLifetimeHalfLives.
auto decayedFloor(Level floor, Duration age, Duration halfLife) -> Level;

/// Returns the weight of a floor that was reported `age` ago, relative to other floors: 1 for a floor reported now, and
/// half as much after each fifth of the half-life of loads (0.1 s by default). Gates adapt their floors to a surge within
/// a few windows of 20 ms, so a floor that is 0.1 s old is less accurate than a current one.
auto freshness(Duration age, Duration halfLife) -> double;

/// The floors of one upstream, from its reports and from the outcomes of this entry's calls. An outcome takes precedence
/// over a report. Floors that are not refreshed decay and no longer apply after a bounded time.
class FloorView
{
public:
    /// Replaces the floors by those of a new report.
    auto update(std::span<const Level> floors, TimePoint now) -> void { update(floors, {}, now); }
    auto update(std::span<const Level> floors, std::vector<PathFloor> pathFloors, TimePoint now)
            -> void;

    /// Records that the upstream refused a call of `level`, so its floor is above `level`.
    auto didRefuse(Level level, TimePoint now, PathKey path = NoPath) -> void;

    /// Records that the upstream answered a call of `level` that was sent at `sentAt`. If the recorded floor was already
    /// above the call at that time, the reports are wrong or old, and the level counts as admitted for a half-life.
    auto didAdmit(Level level, TimePoint sentAt, TimePoint now, PathKey path = NoPath) -> void;

    /// Returns the estimated current floor for calls of this class and path.
    [[nodiscard]] auto floorFor(FloorKey key, TimePoint now, Duration halfLife) const -> Level;

    /// Returns the same estimate without the reported path floors, so that it depends on the upstream's own load only.
    [[nodiscard]] auto ownFloorFor(FloorKey key, TimePoint now, Duration halfLife) const -> Level;

    /// Returns the floor of a path in the last report, or the lowest level if the report doesn't list the path.
    [[nodiscard]] auto pathFloor(PathKey path) const -> Level
    {
        return floorOfPath(m_pathFloors, path);
    }

    /// Returns whether a report was received.
    [[nodiscard]] auto hasReported() const -> bool { return m_hasReported; }

    /// Returns when the last report was received.
    [[nodiscard]] auto reportedAt() const -> TimePoint { return m_reportedAt; }

    /// Returns the lowest level that an answer of the last half-life proved to be admitted on a path, regardless of the
    /// reports; ClosedLevel without such an answer.
    [[nodiscard]] auto provenLevel(PathKey path, TimePoint now, Duration halfLife) const -> Level;

    /// Returns the time since the floor was last reported, or last shown by a refusal of a call of this class and path.
    [[nodiscard]] auto age(FloorKey key, TimePoint now) const -> Duration;

private:
    /// A floor and the time at which it was last reported or shown by a refusal.
    struct CurrentFloor
    {
        Level floor;
        TimePoint at{};
    };

    /// A floor that a refusal showed. It applies to the class and path of the refused call only; other floors keep their
    /// age.
    struct Refusal
    {
        FloorKey key;
        CurrentFloor current;
    };

    [[nodiscard]] auto rankFloor(ClassRank rank) const -> Level;
    [[nodiscard]] auto reportedFloor(FloorKey key) const -> Level;
    [[nodiscard]] auto currentFloor(FloorKey key) const -> CurrentFloor;
    /// Returns `reported` or the floor of a refusal, whichever is greater.
    [[nodiscard]] auto currentFloor(FloorKey key, Level reported) const -> CurrentFloor;

    std::vector<Level> m_floors; ///< By class rank, from the last report.
    std::vector<PathFloor> m_pathFloors;
    std::vector<Refusal> m_refusals; ///< Since the last report, one per class and path.
    bool m_hasReported = false;
    TimePoint m_reportedAt{};
    TimePoint m_lastRiseAt{}; ///< Time of the last increase of a floor.
    TimePoint m_admittedAt{};
    PathKey m_admittedPath = NoPath; ///< The only path that the answer at m_admittedAt applies to.
    Level m_admitted = ClosedLevel;  ///< Lowest level proved by the answer at m_admittedAt.
};

} // namespace stairspur::routing
