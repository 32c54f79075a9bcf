#pragma once

#include <array>
#include <cstdint>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// The level from which on the gate can serve what comes: what it advertises, so that entries refuse the rest before any
/// work. It enforces nothing; the order of the queue decides who is served.
///
/// Like DAGOR (Zhou et al., SoCC 2018) it knows how many calls came at each level, and moves the floor to where the sum
/// of the levels above meets the capacity. A queue that stands for a whole window tells of overload (the smallest wait,
/// not the mean, as in CoDel, Nichols & Jacobson, 2012); one that runs empty lets the floor fall.
class FloorEstimator
{
public:
    /// What the gate sees now.
    struct Load
    {
        Duration wait{0};           ///< Of the calls that wait, until the last one is dispatched.
        Duration targetWait{0};     ///< Waits that are longer for a whole window tell of overload.
        std::uint32_t inFlight = 0; ///< Calls that run.
        std::uint32_t limit = 1;    ///< Calls that may run.
        double capacity = 0;        ///< Calls per second when `limit` calls run.
    };

    /// A call came, whatever becomes of it.
    auto didArrive(Level level) -> void;

    /// The load as it has been since the last observation: call it before each change. Moves the floor when a window is over.
    auto didObserve(const Load &load, TimePoint now) -> void;

    /// The lowest level to send.
    [[nodiscard]] auto floor() const -> Level { return m_floor; }

private:
    static constexpr auto LevelCount = std::size_t{ClosedLevel.value};

    auto endWindow(const Load &load, Duration length) -> void;
    auto raise(double capacity) -> void;
    auto lower(const Load &load, Duration length) -> void;

    /// The greatest level from which on all levels together bring `rate` calls per second; 0 when all do not.
    [[nodiscard]] auto lowestLevelFor(double rate) const -> std::size_t;
    [[nodiscard]] auto ratePerLevelAboveFloor() const -> double;

    std::array<float, LevelCount> m_rates{}; ///< Calls per second by level, smoothed.
    std::array<std::uint16_t, LevelCount> m_arrivals{};
    Level m_floor = LowestLevel;
    TimePoint m_windowStart{};
    TimePoint m_lastObserved{};
    Duration m_smallestWait = Duration::max();
    double m_busyMicroseconds = 0; ///< Sum over the window of the share of the limit in use.
    bool m_hasStarted = false;
};

} // namespace stairspur::admission
