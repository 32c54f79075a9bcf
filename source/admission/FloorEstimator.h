#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// The level from which on the gate can serve what comes: what it advertises, so that entries refuse the rest before any
/// work. The order of the queue decides who is served; the gate itself refuses only what no entry should have sent.
///
/// Like DAGOR (Zhou et al., SoCC 2018) it counts the calls of each level, and puts the floor where the levels above it
/// bring as many calls as fit. What fits is the capacity, less what a long queue has to make up for, more what a short
/// one may take in. Levels below the floor stay away, so their demand is extrapolated from their class or remembered.
class FloorEstimator
{
public:
    /// What the gate sees now.
    struct Load
    {
        Duration wait{0};           ///< Of the calls that wait, until the last one is dispatched.
        Duration targetWait{0};     ///< The queue that is wanted under overload.
        std::uint32_t inFlight = 0; ///< Calls that run.
        std::uint32_t limit = 1;    ///< Calls that may run.
        std::optional<Level> lowestWaiting; ///< Of the calls that wait.
        double capacity = 0;                ///< Calls per second when `limit` calls run.
    };

    /// A call came, whatever becomes of it.
    auto didArrive(Level level) -> void;

    /// The load as it has been since the last observation: call it before each change. Moves the floor when a window is
    /// over.
    auto didObserve(const Load &load, TimePoint now) -> void;

    /// The lowest level to send.
    [[nodiscard]] auto floor() const -> Level { return m_floor; }

    /// The lowest floor that some entry may still go by: a call below it was not sent in good faith.
    [[nodiscard]] auto oldestFloor() const -> Level
    {
        return *std::min_element(m_floors.begin(), m_floors.end());
    }

    /// Calls per second that come at the floor and above, smoothed.
    [[nodiscard]] auto rateAboveFloor() const -> double { return m_rateAboveFloor; }

private:
    static constexpr auto LevelCount = std::size_t{ClosedLevel.value};

    /// Floors of this many windows are still in the hands of some entry.
    static constexpr auto FloorsUnderWay = std::size_t{5};

    auto endWindow(const Load &load, Duration length) -> void;
    auto learnRates(std::size_t visible, Duration length) -> void;
    auto extrapolate(std::size_t visible, Duration length) -> void;
    auto moveFloor(std::size_t target, double idle) -> void;
    [[nodiscard]] static auto highestFloorBeside(std::optional<Level> lowestWaiting) -> std::size_t;
    [[nodiscard]] auto fittingRate(const Load &load, double used) const -> double;
    [[nodiscard]] auto visibleFrom() const -> std::size_t;
    [[nodiscard]] auto sumFrom(std::size_t level) const -> double;

    /// The greatest level from which on all levels together bring `rate` calls per second; 0 when all do not.
    [[nodiscard]] auto lowestLevelFor(double rate) const -> std::size_t;

    std::array<float, LevelCount> m_rates{}; ///< Calls per second that would come, by level.
    std::array<std::uint16_t, LevelCount> m_arrivals{};   ///< In this window.
    std::array<std::uint8_t, LevelCount> m_windowsSeen{}; ///< Windows that a level has been let in.
    std::array<Level, FloorsUnderWay> m_floors{};
    std::size_t m_nextFloor = 0;
    double m_rateAboveFloor = 0; ///< Kept, since each report asks for it.
    Level m_floor = LowestLevel;
    TimePoint m_windowStart{};
    TimePoint m_lastObserved{};
    double m_busyMicroseconds = 0; ///< Sum over the window of the share of the limit in use.
    double m_waitSum = 0;          ///< Sum over the window of the wait, in microseconds squared.
    bool m_hasStarted = false;
};

} // namespace stairspur::admission
