#include <criterion/criterion.h>

#include <time.h>

#include <stairspur/core/Time.h>

using namespace stairspur;

/// Returns the kernel's time since boot, including suspension.
static auto timeSinceBoot() -> HostClock::time_point
{
    auto time = timespec();
    clock_gettime(CLOCK_BOOTTIME, &time);
    return HostClock::time_point(std::chrono::seconds(time.tv_sec)
                                 + std::chrono::nanoseconds(time.tv_nsec));
}

Test(HostClock, includesTimeInSuspension)
{
    const auto before = timeSinceBoot();
    const auto now = HostClock::now();
    cr_assert(before <= now);
    cr_assert(now <= timeSinceBoot());
}
