#include "FloorEstimator.h"

#include <algorithm>
#include <cmath>

namespace stairspur::admission {

namespace {

/// Minimum length of the window over which load and demand are measured. The floor moves at its end.
constexpr auto WindowLength = Duration(20'000);

/// Time constant by which the demand of each level is smoothed.
constexpr auto DemandSmoothingTime = Duration(400'000);

/// Time constant by which the recorded demand of bands that lie below the floor entirely decays.
constexpr auto HiddenDemandDecayTime = Duration(500'000);

/// Time within which a queue that is too long or too short is to return to its target.
constexpr auto CorrectionTime = Duration(300'000);

/// Bounds of the demand that fits, as shares of the capacity.
constexpr auto MinFittingShare = 0.5;
constexpr auto MaxFittingShare = 1.25;

/// Number of visible levels of a band from which on the demand of its other levels is extrapolated.
constexpr auto LevelsToExtrapolate = std::size_t{8};

/// Share of the idle slots that one step of a falling floor may fill, estimated by the demand above the floor. The levels
/// below may have more demand than recorded, and it becomes visible only some windows later.
constexpr auto LoweringGain = 0.15;

/// Step in levels of a floor that falls while no slot is idle.
constexpr auto BusyLoweringStep = 2.0;

/// Lower bound of the demand in slots per level, which keeps a step finite where no calls arrive.
constexpr auto MinDensity = 1e-5;

auto weightOf(Duration length, Duration timeConstant) -> double
{
    return 1.0
           - std::exp(-static_cast<double>(length.count())
                      / static_cast<double>(timeConstant.count()));
}

} // namespace

auto FloorEstimator::didArrive(ServingOrder order, Duration work) -> void
{
    const auto level = std::min<std::size_t>(order.value, LevelCount - 1);
    if (level < m_lowestUsed)
        extendUsedLevelsTo(level);
    m_arrivals[level] += static_cast<float>(work.count());
}

auto FloorEstimator::extendUsedLevelsTo(std::size_t level) -> void
{
    const auto start = level / OrdersPerClass * OrdersPerClass;
    std::fill(m_visibleWindows.begin() + static_cast<std::ptrdiff_t>(start),
              m_visibleWindows.begin() + static_cast<std::ptrdiff_t>(m_lowestUsed),
              m_unusedVisibleWindows);
    m_lowestUsed = start;
}

auto FloorEstimator::raiseAbove(ServingOrder order) -> void
{
    const auto above = std::min<std::size_t>(order.value + std::size_t{1}, LevelCount);
    m_floor = std::max(m_floor, ServingOrder{static_cast<std::uint16_t>(above)});
}

auto FloorEstimator::didObserve(const Load &load, TimePoint now) -> void
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_windowStart = now;
        m_lastObserved = now;
    }
    const auto elapsed = static_cast<double>(std::max(now - m_lastObserved, Duration(0)).count());
    m_busyMicroseconds += load.busyShare * elapsed;
    m_waitSum += static_cast<double>(load.wait.count()) * elapsed;
    m_lastObserved = now;
    const auto length = now - m_windowStart;
    if (length < WindowLength)
        return;
    endWindow(load, length);
    m_windowStart = now;
    m_busyMicroseconds = 0;
    m_waitSum = 0;
}

auto FloorEstimator::endWindow(const Load &load, Duration length) -> void
{
    const auto visible = visibleFrom();
    updateDemand(visible, length);
    extrapolate(visible, length);
    std::fill(m_arrivals.begin() + static_cast<std::ptrdiff_t>(m_lowestUsed), m_arrivals.end(),
              0.0F);
    if (load.hasServiceTime) {
        auto window = load;
        const auto microseconds = static_cast<double>(length.count());
        window.wait = Duration(std::llround(m_waitSum / microseconds));
        const auto used = m_busyMicroseconds / microseconds;
        const auto target = std::min(lowestLevelFor(fittingSlots(window, used)),
                                     highestFloorWith(load.lowestWaiting));
        moveFloor(target, (1.0 - used) * load.capacity);
    }
    m_slotsAboveFloor = sumFrom(m_floor.value);
    m_recentFloors[m_nextRecentFloor] = m_floor;
    m_nextRecentFloor = (m_nextRecentFloor + 1) % RecentFloorCount;
}

auto FloorEstimator::updateDemand(std::size_t visible, Duration length) -> void
{
    const auto microseconds = static_cast<float>(length.count());
    const auto weight = weightOf(length, DemandSmoothingTime);
    const auto oneMore = [](std::uint8_t n) {
        return static_cast<std::uint8_t>(std::min(n + 1, 255));
    };
    m_unusedVisibleWindows =
            visible > m_lowestUsed ? std::uint8_t{0} : oneMore(m_unusedVisibleWindows);
    for (auto level = m_lowestUsed; level < visible; ++level)
        m_visibleWindows[level] = 0;
    for (auto level = std::max(visible, m_lowestUsed); level < LevelCount; ++level) {
        auto &windows = m_visibleWindows[level];
        windows = oneMore(windows);
        const auto slotsInUse = m_arrivals[level] / microseconds;
        const auto ownWeight = static_cast<float>(std::max(weight, 1.0 / (windows + 1)));
        m_slots[level] += (slotsInUse - m_slots[level]) * ownWeight;
    }
}

auto FloorEstimator::extrapolate(std::size_t visible, Duration length) -> void
{
    const auto bandStart = visible / OrdersPerBand * OrdersPerBand;
    const auto bandEnd = std::min(bandStart + OrdersPerBand, LevelCount);
    if (bandEnd >= visible + LevelsToExtrapolate) {
        const auto sum = sumFrom(visible) - sumFrom(bandEnd);
        const auto mean = sum / static_cast<double>(bandEnd - visible);
        std::fill(m_slots.begin() + static_cast<std::ptrdiff_t>(bandStart),
                  m_slots.begin() + static_cast<std::ptrdiff_t>(visible), static_cast<float>(mean));
    }
    const auto kept = static_cast<float>(1.0 - weightOf(length, HiddenDemandDecayTime));
    for (auto level = m_lowestUsed; level < bandStart; ++level)
        m_slots[level] *= kept;
}

auto FloorEstimator::fittingSlots(const Load &load, double used) const -> double
{
    const auto excess = static_cast<double>((load.wait - load.targetWait).count());
    const auto share = std::clamp(1.0 - excess / static_cast<double>(CorrectionTime.count()),
                                  MinFittingShare, MaxFittingShare);
    // Idle slots show that more demand fits, whatever the estimate of the capacity is.
    const auto observed = sumFrom(m_floor.value) + (1.0 - used) * load.capacity;
    const auto fitting = share * load.capacity;
    return load.wait == Duration(0) ? std::max(fitting, observed) : fitting;
}

auto FloorEstimator::highestFloorWith(std::optional<ServingOrder> lowestWaiting) -> std::size_t
{
    // Entries must not refuse a class while calls of a less important class wait at this gate.
    if (!lowestWaiting)
        return LevelCount;
    return (lowestWaiting->value / OrdersPerBand + 1U) * OrdersPerBand;
}

auto FloorEstimator::moveFloor(std::size_t target, double idle) -> void
{
    if (target >= m_floor.value) {
        m_floor = ServingOrder{static_cast<std::uint16_t>(target)};
        return;
    }
    // The demand below the floor may be as dense as above it. The density is taken over a whole class, since one of its
    // bands may be empty.
    const auto above = std::min<std::size_t>(m_floor.value + OrdersPerClass, LevelCount);
    const auto levels = static_cast<double>(above - m_floor.value) / BandsPerClass;
    const auto density = (sumFrom(m_floor.value) - sumFrom(above)) / std::max(levels, 1.0);
    const auto maxStep = BusyLoweringStep + LoweringGain * idle / std::max(density, MinDensity);
    const auto step = std::min(static_cast<double>(m_floor.value - target), maxStep);
    m_floor = ServingOrder{
            static_cast<std::uint16_t>(m_floor.value - static_cast<std::size_t>(step))};
}

auto FloorEstimator::visibleFrom() const -> std::size_t
{
    return std::max_element(m_recentFloors.begin(), m_recentFloors.end())->value;
}

auto FloorEstimator::sumFrom(std::size_t level) const -> double
{
    auto sum = 0.0;
    for (level = std::max(level, m_lowestUsed); level < LevelCount; ++level)
        sum += static_cast<double>(m_slots[level]);
    return sum;
}

auto FloorEstimator::lowestLevelFor(double slots) const -> std::size_t
{
    auto level = LevelCount;
    auto sum = 0.0;
    while (level > m_lowestUsed && sum < slots)
        sum += static_cast<double>(m_slots[--level]);
    return sum < slots ? 0 : level;
}

} // namespace stairspur::admission
