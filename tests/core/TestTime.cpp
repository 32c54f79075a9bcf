#include <criterion/criterion.h>

#include <time.h>

#include <stairspur/core/Time.h>

using namespace stairspur;

/// What the kernel counts since the host booted, suspensions included.
static auto sinceBoot() -> HostClock::time_point
{
    auto time = timespec();
    clock_gettime(CLOCK_BOOTTIME, &time);
    return HostClock::time_point(std::chrono::seconds(time.tv_sec)
                                 + std::chrono::nanoseconds(time.tv_nsec));
}

Test(HostClock, countsTheTimeForWhichTheHostWasSuspended)
{
    const auto before = sinceBoot();
    const auto now = HostClock::now();
    cr_assert(before <= now);
    cr_assert(now <= sinceBoot());
}
