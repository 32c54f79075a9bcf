#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

#include <stairspur/core/Time.h>

#include "ServingOrder.h"

namespace stairspur::admission {

/// The level from which on the gate can serve what comes: what it advertises, so that entries refuse the rest before any
/// work. The order of the queue decides who is served; the gate itself refuses only what no entry should have sent.
///
/// Like DAGOR (Zhou et al., SoCC 2018) it sums what the calls of each level ask for, and puts the floor where the levels above
/// it bring as much as fits. Calls are weighed by the time for which their kind holds a place, since kinds differ by a
/// factor of ten and more. What fits is the capacity, less what a long queue has to make up for, more what a short
/// one may take in. Levels below the floor stay away, so their demand is extrapolated from their band or remembered.
///
/// All levels here are places in the serving order.
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
        std::optional<ServingOrder> lowestWaiting; ///< Of the calls that wait.
        bool isWorkKnown = false; ///< Whether it was measured how long calls hold a place.
    };

    /// A call came, whatever becomes of it. `work`: how long its kind holds a place.
    auto didArrive(ServingOrder order, Duration work) -> void;

    /// The load as it has been since the last observation: call it before each change. Moves the floor when a window is
    /// over.
    auto didObserve(const Load &load, TimePoint now) -> void;

    /// Puts the floor above `order` at once, unless it is there already. From there it falls as ever.
    auto raiseAbove(ServingOrder order) -> void;

    /// The lowest level to send.
    [[nodiscard]] auto floor() const -> ServingOrder { return m_floor; }

    /// The lowest floor that some entry may still go by: a call below it was not sent in good faith.
    [[nodiscard]] auto oldestFloor() const -> ServingOrder
    {
        return *std::min_element(m_floors.begin(), m_floors.end());
    }

    /// Places that what comes at the floor and above would keep taken, smoothed.
    [[nodiscard]] auto placesAboveFloor() const -> double { return m_placesAboveFloor; }

private:
    static constexpr auto LevelCount = std::size_t{ClosedOrder.value};

    /// Floors of this many windows are still in the hands of some entry.
    static constexpr auto FloorsUnderWay = std::size_t{5};

    auto endWindow(const Load &load, Duration length) -> void;
    /// A call came below all levels in use.
    auto extendTo(std::size_t level) -> void;
    auto learnRates(std::size_t visible, Duration length) -> void;
    auto extrapolate(std::size_t visible, Duration length) -> void;
    auto moveFloor(std::size_t target, double idle) -> void;
    [[nodiscard]] static auto highestFloorBeside(std::optional<ServingOrder> lowestWaiting)
            -> std::size_t;
    [[nodiscard]] auto fittingPlaces(const Load &load, double used) const -> double;
    [[nodiscard]] auto visibleFrom() const -> std::size_t;
    [[nodiscard]] auto sumFrom(std::size_t level) const -> double;

    /// The greatest level from which on all levels together take `places`; 0 when all do not.
    [[nodiscard]] auto lowestLevelFor(double places) const -> std::size_t;

    std::array<float, LevelCount> m_places{};   ///< That what would come takes, by level.
    std::array<float, LevelCount> m_arrivals{}; ///< Work that came in this window, in microseconds.
    std::array<std::uint8_t, LevelCount> m_windowsSeen{}; ///< Windows that a level has been let in.
    /// No call has come below it, so that nothing is to be learnt there. Of 32 classes a fleet uses a few: with three of them
    /// a window costs a sixth of what a pass over all levels does (41,000 against 245,000 instructions by callgrind).
    std::size_t m_lowestUsed = LevelCount;
    std::uint8_t m_windowsOfUnused = 0; ///< Windows that the levels below it have been let in.
    std::array<ServingOrder, FloorsUnderWay> m_floors{};
    std::size_t m_nextFloor = 0;
    double m_placesAboveFloor = 0; ///< Kept, since each report asks for it.
    ServingOrder m_floor = LowestOrder;
    TimePoint m_windowStart{};
    TimePoint m_lastObserved{};
    double m_busyMicroseconds = 0; ///< Sum over the window of the share of the limit in use.
    double m_waitSum = 0;          ///< Sum over the window of the wait, in microseconds squared.
    bool m_hasStarted = false;
};

} // namespace stairspur::admission
