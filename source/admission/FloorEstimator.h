#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

#include <stairspur/core/Time.h>

#include "ServingOrder.h"

namespace stairspur::admission {

/// Estimates the floor: the lowest level from which on the gate can serve all calls that arrive. The gate reports it, so
/// that entries refuse lower calls before any work is done. The order of the queue decides which calls are served; the
/// gate itself refuses by the floor only calls that no entry should have sent.
///
/// Like DAGOR (Zhou et al., SoCC 2018) it sums the demand of each level, and sets the floor so that the demand of the levels
/// above it equals what fits. Calls are weighted by the time for which calls of their kind occupy a slot, since kinds
/// differ by a factor of ten and more. What fits is the capacity, reduced while the queue is longer than its target and
/// increased while it is shorter. Calls below the floor don't arrive, so the demand of those levels is extrapolated from
/// their band or kept from earlier windows.
///
/// All levels in this class are values of the serving order.
class FloorEstimator
{
public:
    /// Current load of the gate.
    struct Load
    {
        Duration wait{0};       ///< Expected time until the last waiting call is dispatched.
        Duration targetWait{0}; ///< Wait that the queue is to have under overload.
        double capacity = 1;    ///< Calls that run at once when the backend server is fully used.
        double busyShare = 0;   ///< Share of the capacity in use, from 0 to 1.
        std::optional<ServingOrder> lowestWaiting; ///< Lowest order of the waiting calls.
        bool hasServiceTime = false;               ///< Whether the service time was measured.
    };

    /// Records that a call arrived, whatever its outcome. `work` is the time for which a call of its kind occupies a
    /// slot.
    auto didArrive(ServingOrder order, Duration work) -> void;

    /// Records the load since the last observation; must be called before each change. Moves the floor at the end of a
    /// window.
    auto didObserve(const Load &load, TimePoint now) -> void;

    /// Raises the floor above `order` at once, unless it is above already. It can fall again as usual.
    auto raiseAbove(ServingOrder order) -> void;

    /// Returns the lowest level that entries may send.
    [[nodiscard]] auto floor() const -> ServingOrder { return m_floor; }

    /// Returns the lowest floor that some entry may still use. A call below it should not have been sent.
    [[nodiscard]] auto lowestRecentFloor() const -> ServingOrder
    {
        return *std::min_element(m_recentFloors.begin(), m_recentFloors.end());
    }

    /// Returns the smoothed number of slots that calls at the floor and above occupy.
    [[nodiscard]] auto slotsAboveFloor() const -> double { return m_slotsAboveFloor; }

private:
    static constexpr auto LevelCount = std::size_t{ClosedOrder.value};

    /// Number of windows whose floors some entry may still use.
    static constexpr auto RecentFloorCount = std::size_t{5};

    auto endWindow(const Load &load, Duration length) -> void;
    /// Extends the levels in use, because a call arrived below all of them.
    auto extendUsedLevelsTo(std::size_t level) -> void;
    auto updateDemand(std::size_t visible, Duration length) -> void;
    auto extrapolate(std::size_t visible, Duration length) -> void;
    auto moveFloor(std::size_t target, double idle) -> void;
    [[nodiscard]] static auto highestFloorWith(std::optional<ServingOrder> lowestWaiting)
            -> std::size_t;
    [[nodiscard]] auto fittingSlots(const Load &load, double used) const -> double;
    /// Returns the lowest level whose calls all entries send.
    [[nodiscard]] auto visibleFrom() const -> std::size_t;
    [[nodiscard]] auto sumFrom(std::size_t level) const -> double;

    /// Returns the greatest level for which it and all levels above it occupy `slots` or more; 0 when all levels together
    /// occupy fewer.
    [[nodiscard]] auto lowestLevelFor(double slots) const -> std::size_t;

    std::array<float, LevelCount> m_slots{}; ///< Slots that the demand of each level occupies.
    /// Work that arrived in this window, in microseconds.
    std::array<float, LevelCount> m_arrivals{};
    /// Windows for which each level was visible.
    std::array<std::uint8_t, LevelCount> m_visibleWindows{};
    /// Lowest level in use: no call has arrived below it, so the levels below are skipped. Of 32 classes a fleet uses a
    /// few. With three of them a window costs a sixth of a pass over all levels (41,000 against 245,000 instructions by
    /// callgrind).
    std::size_t m_lowestUsed = LevelCount;
    /// Windows for which the levels below m_lowestUsed were visible.
    std::uint8_t m_unusedVisibleWindows = 0;
    std::array<ServingOrder, RecentFloorCount> m_recentFloors{};
    std::size_t m_nextRecentFloor = 0;
    double m_slotsAboveFloor = 0; ///< Cached, since each report needs it.
    ServingOrder m_floor = LowestOrder;
    TimePoint m_windowStart{};
    TimePoint m_lastObserved{};
    /// Integral over the window of the share of the capacity in use, in microseconds.
    double m_busyMicroseconds = 0;
    double m_waitSum = 0; ///< Integral over the window of the wait, in microseconds squared.
    bool m_hasStarted = false;
};

} // namespace stairspur::admission
