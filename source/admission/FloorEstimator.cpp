#include "FloorEstimator.h"

#include <algorithm>
#include <cmath>

namespace stairspur::admission {

namespace {

constexpr auto WindowLength = Duration(20'000);

/// Time over which what comes by level is smoothed.
constexpr auto RateMemory = Duration(400'000);

/// Time over which the demand of bands that are shut out altogether is forgotten.
constexpr auto HiddenMemory = Duration(500'000);

/// Time in which a queue that is too long or too short shall come back to its target.
constexpr auto CorrectionTime = Duration(300'000);

/// Bounds of what fits, as shares of the capacity.
constexpr auto LeastFittingShare = 0.5;
constexpr auto MostFittingShare = 1.25;

/// Visible levels of a band that are enough to tell the demand of the others.
constexpr auto LevelsToExtrapolate = std::size_t{8};

/// Share of the idle places that one step of a falling floor may fill, going by the demand above it: the levels below
/// may bring more than is known, and what they bring shows only some windows later.
constexpr auto LoweringGain = 0.15;

/// The step of a floor that falls while no place is idle.
constexpr auto BusyLowering = 2.0;

/// Keeps a step finite where nobody calls, in places by level.
constexpr auto LeastDensity = 1e-5;

auto weightOf(Duration length, Duration memory) -> double
{
    return 1.0
           - std::exp(-static_cast<double>(length.count()) / static_cast<double>(memory.count()));
}

} // namespace

auto FloorEstimator::didArrive(ServingOrder order, Duration work) -> void
{
    const auto level = std::min<std::size_t>(order.value, LevelCount - 1);
    if (level < m_lowestUsed)
        extendTo(level);
    m_arrivals[level] += static_cast<float>(work.count());
}

auto FloorEstimator::extendTo(std::size_t level) -> void
{
    const auto start = level / OrdersPerClass * OrdersPerClass;
    std::fill(m_windowsSeen.begin() + static_cast<std::ptrdiff_t>(start),
              m_windowsSeen.begin() + static_cast<std::ptrdiff_t>(m_lowestUsed), m_windowsOfUnused);
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
    const auto share = std::min(1.0, static_cast<double>(load.inFlight) / load.limit);
    m_busyMicroseconds += share * elapsed;
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
    learnRates(visible, length);
    extrapolate(visible, length);
    std::fill(m_arrivals.begin() + static_cast<std::ptrdiff_t>(m_lowestUsed), m_arrivals.end(),
              0.0F);
    if (load.isWorkKnown) {
        auto window = load;
        const auto microseconds = static_cast<double>(length.count());
        window.wait = Duration(std::llround(m_waitSum / microseconds));
        const auto used = m_busyMicroseconds / microseconds;
        const auto target = std::min(lowestLevelFor(fittingPlaces(window, used)),
                                     highestFloorBeside(load.lowestWaiting));
        moveFloor(target, (1.0 - used) * load.limit);
    }
    m_placesAboveFloor = sumFrom(m_floor.value);
    m_floors[m_nextFloor] = m_floor;
    m_nextFloor = (m_nextFloor + 1) % FloorsUnderWay;
}

auto FloorEstimator::learnRates(std::size_t visible, Duration length) -> void
{
    const auto microseconds = static_cast<float>(length.count());
    const auto weight = weightOf(length, RateMemory);
    const auto oneMore = [](std::uint8_t windows) {
        return static_cast<std::uint8_t>(std::min(windows + 1, 255));
    };
    m_windowsOfUnused = visible > m_lowestUsed ? std::uint8_t{0} : oneMore(m_windowsOfUnused);
    for (auto level = m_lowestUsed; level < visible; ++level)
        m_windowsSeen[level] = 0;
    for (auto level = std::max(visible, m_lowestUsed); level < LevelCount; ++level) {
        auto &seen = m_windowsSeen[level];
        seen = oneMore(seen);
        const auto places = m_arrivals[level] / microseconds;
        const auto ownWeight = static_cast<float>(std::max(weight, 1.0 / (seen + 1)));
        m_places[level] += (places - m_places[level]) * ownWeight;
    }
}

auto FloorEstimator::extrapolate(std::size_t visible, Duration length) -> void
{
    const auto bandStart = visible / OrdersPerBand * OrdersPerBand;
    const auto bandEnd = std::min(bandStart + OrdersPerBand, LevelCount);
    if (bandEnd >= visible + LevelsToExtrapolate) {
        const auto sum = sumFrom(visible) - sumFrom(bandEnd);
        const auto mean = sum / static_cast<double>(bandEnd - visible);
        std::fill(m_places.begin() + static_cast<std::ptrdiff_t>(bandStart),
                  m_places.begin() + static_cast<std::ptrdiff_t>(visible),
                  static_cast<float>(mean));
    }
    const auto kept = static_cast<float>(1.0 - weightOf(length, HiddenMemory));
    for (auto level = m_lowestUsed; level < bandStart; ++level)
        m_places[level] *= kept;
}

auto FloorEstimator::fittingPlaces(const Load &load, double used) const -> double
{
    const auto excess = static_cast<double>((load.wait - load.targetWait).count());
    const auto share = std::clamp(1.0 - excess / static_cast<double>(CorrectionTime.count()),
                                  LeastFittingShare, MostFittingShare);
    // Idle places are proof that more fits, whatever the capacity is believed to be.
    const auto proven = sumFrom(m_floor.value) + (1.0 - used) * load.limit;
    const auto fitting = share * load.limit;
    return load.wait == Duration(0) ? std::max(fitting, proven) : fitting;
}

auto FloorEstimator::highestFloorBeside(std::optional<ServingOrder> lowestWaiting) -> std::size_t
{
    // Entries must not refuse a class while this gate has calls of a lower one to serve.
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
    // Over a whole class, since one of its bands may be empty: what is below may be as dense as what is above.
    const auto above = std::min<std::size_t>(m_floor.value + OrdersPerClass, LevelCount);
    const auto levels = static_cast<double>(above - m_floor.value) / BandsPerClass;
    const auto density = (sumFrom(m_floor.value) - sumFrom(above)) / std::max(levels, 1.0);
    const auto careful = BusyLowering + LoweringGain * idle / std::max(density, LeastDensity);
    const auto step = std::min(static_cast<double>(m_floor.value - target), careful);
    m_floor = ServingOrder{
            static_cast<std::uint16_t>(m_floor.value - static_cast<std::size_t>(step))};
}

auto FloorEstimator::visibleFrom() const -> std::size_t
{
    return std::max_element(m_floors.begin(), m_floors.end())->value;
}

auto FloorEstimator::sumFrom(std::size_t level) const -> double
{
    auto sum = 0.0;
    for (level = std::max(level, m_lowestUsed); level < LevelCount; ++level)
        sum += static_cast<double>(m_places[level]);
    return sum;
}

auto FloorEstimator::lowestLevelFor(double places) const -> std::size_t
{
    auto level = LevelCount;
    auto sum = 0.0;
    while (level > m_lowestUsed && sum < places)
        sum += static_cast<double>(m_places[--level]);
    return sum < places ? 0 : level;
}

} // namespace stairspur::admission
