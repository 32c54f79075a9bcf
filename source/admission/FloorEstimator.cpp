#include "FloorEstimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace stairspur::admission {

namespace {

constexpr auto WindowLength = Duration(20'000);

/// Time over which the rates by level are smoothed: some hundred calls at a small backend server.
constexpr auto RateMemory = Duration(200'000);

/// Share of the free capacity that one step gives back. Answers carry the floor, so that its effect shows only some
/// windows later; a whole step each window would overshoot.
constexpr auto LoweringGain = 0.25;

/// From this use of the limit on the backend server counts as busy, and the floor falls by single levels.
constexpr auto BusyShare = 0.97;

/// The floor never rises so far that the levels above it would leave more than the rest of the capacity idle: one level
/// may hold more calls than fit.
constexpr auto LeastKeptShare = 0.5;

/// A level at which fewer calls come (per second) counts as empty.
constexpr auto LeastRate = 0.01;

} // namespace

auto FloorEstimator::didArrive(Level level) -> void
{
    auto &count = m_arrivals[std::min<std::size_t>(level.value, LevelCount - 1)];
    if (count < std::numeric_limits<std::uint16_t>::max())
        ++count;
}

auto FloorEstimator::didObserve(const Load &load, TimePoint now) -> void
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_windowStart = now;
        m_lastObserved = now;
    }
    const auto elapsed = std::max(now - m_lastObserved, Duration(0));
    const auto share = std::min(1.0, static_cast<double>(load.inFlight) / load.limit);
    m_busyMicroseconds += share * static_cast<double>(elapsed.count());
    m_lastObserved = now;
    m_smallestWait = std::min(m_smallestWait, load.wait);
    const auto length = now - m_windowStart;
    if (length < WindowLength)
        return;
    endWindow(load, length);
    m_windowStart = now;
    m_smallestWait = load.wait;
    m_busyMicroseconds = 0;
}

auto FloorEstimator::endWindow(const Load &load, Duration length) -> void
{
    const auto seconds = static_cast<double>(length.count()) / 1e6;
    const auto weight = 1.0 - std::exp(-seconds * 1e6 / static_cast<double>(RateMemory.count()));
    for (std::size_t level = 0; level < LevelCount; ++level) {
        const auto rate = static_cast<float>(m_arrivals[level] / seconds);
        m_rates[level] += (rate - m_rates[level]) * static_cast<float>(weight);
    }
    m_arrivals.fill(0);
    if (m_smallestWait > load.targetWait) {
        raise(load.capacity);
        return;
    }
    if (m_smallestWait == Duration(0))
        lower(load, length);
}

auto FloorEstimator::raise(double capacity) -> void
{
    if (capacity <= 0)
        return;
    const auto fits = lowestLevelFor(capacity);
    const auto greatest = lowestLevelFor(capacity * LeastKeptShare);
    const auto next = std::max<std::size_t>(fits, m_floor.value + 1U);
    m_floor = Level{static_cast<std::uint16_t>(std::min(next, greatest))};
}

auto FloorEstimator::lowestLevelFor(double rate) const -> std::size_t
{
    auto level = LevelCount;
    auto sum = 0.0;
    while (level > 0 && sum < rate)
        sum += static_cast<double>(m_rates[--level]);
    return level;
}

auto FloorEstimator::lower(const Load &load, Duration length) -> void
{
    if (m_floor == LowestLevel)
        return;
    const auto used = m_busyMicroseconds / static_cast<double>(length.count());
    const auto free = used >= BusyShare ? 0.0 : (1.0 - used) * load.capacity;
    const auto windows = static_cast<double>(length.count()) / WindowLength.count();
    const auto rate = std::max(ratePerLevelAboveFloor(), LeastRate);
    const auto step = windows * std::max(1.0, LoweringGain * free / rate);
    const auto value = static_cast<double>(m_floor.value);
    m_floor = Level{static_cast<std::uint16_t>(value - std::min(step, value))};
}

auto FloorEstimator::ratePerLevelAboveFloor() const -> double
{
    const auto begin = static_cast<std::size_t>(m_floor.value);
    const auto end = std::min(begin + HashesPerClass, LevelCount);
    auto sum = 0.0;
    for (auto level = begin; level < end; ++level)
        sum += static_cast<double>(m_rates[level]);
    return end > begin ? sum / static_cast<double>(end - begin) : 0.0;
}

} // namespace stairspur::admission
