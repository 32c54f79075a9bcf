#pragma once

#include <chrono>
#include <concepts>

#include <time.h>

/// Time types. Decisions receive the current time as an argument and never read a clock themselves.
namespace stairspur {

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock of the host since boot that includes time in suspension (CLOCK_BOOTTIME). std::chrono::steady_clock
/// stops during suspension. With it, the age of a deadline, a lease or received data would be too small by the length
/// of the suspension, and a resumed host would forward a time budget that its caller no longer has.
struct HostClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<HostClock>;
    static constexpr auto is_steady = true;

    static auto now() noexcept -> time_point
    {
        auto time = timespec();
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + duration(time.tv_nsec));
    }
};

/// Point in time on the host's clock. Time points of two hosts can't be compared.
using TimePoint = std::chrono::time_point<HostClock, Duration>;

/// Returns the current time on the host's clock.
inline auto monotonicNow() -> TimePoint
{
    return std::chrono::time_point_cast<Duration>(HostClock::now());
}

/// Returns `d` in whole milliseconds, rounded towards zero, for headers and logs.
constexpr auto toMilliseconds(Duration d) -> long long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace stairspur
