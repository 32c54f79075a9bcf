#pragma once

#include <chrono>
#include <concepts>

/// Time as every decision sees it: handed in, never read from a clock.
namespace stairspur {

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the process's monotonic clock. Never comparable between two processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The clock of a running process.
inline auto monotonicNow() -> TimePoint
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// `d` in whole milliseconds, as headers and logs carry it.
constexpr auto toMilliseconds(Duration d) -> long long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace stairspur
