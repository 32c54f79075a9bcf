#pragma once

#include <chrono>
#include <concepts>

#include <time.h>

/// Time as every decision sees it: handed in, never read from a clock.
namespace stairspur {

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// The clock of the host since it booted, the time for which it was suspended included (CLOCK_BOOTTIME). The steady clock stands
/// still meanwhile: by it a deadline, a lease, or the age of what others told would be younger than it is by the whole
/// suspension, and a host that wakes would pass on time that its caller no longer has.
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

/// A point on the host's clock. Never comparable between two hosts.
using TimePoint = std::chrono::time_point<HostClock, Duration>;

/// The clock of a running process.
inline auto monotonicNow() -> TimePoint
{
    return std::chrono::time_point_cast<Duration>(HostClock::now());
}

/// `d` in whole milliseconds, as headers and logs carry it.
constexpr auto toMilliseconds(Duration d) -> long long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace stairspur
