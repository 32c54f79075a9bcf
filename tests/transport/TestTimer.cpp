#include <boost/asio/io_context.hpp>

#include <stairspur/transport/Timer.h>

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::transport;

/// The kernel's timers stand still during a suspension, so that no sleep may be as long as the delay that it stands for.
Test(Timer, noSleepIsLongerThanItsBound)
{
    const auto hour = HostClock::duration(std::chrono::hours(1));
    cr_assert(HostClockWait::to_wait_duration(hour) == HostClock::duration(LongestSleep));
    const auto due = HostClock::now() + hour;
    cr_assert(HostClockWait::to_wait_duration(due) == HostClock::duration(LongestSleep));
    const auto soon = HostClock::duration(std::chrono::milliseconds(3));
    cr_assert(HostClockWait::to_wait_duration(soon) == soon);
}

/// A delay above the bound is slept through in parts, and its handler still runs once.
Test(Timer, aLongDelayEndsOnceAndNotBefore)
{
    auto io = boost::asio::io_context();
    const auto due = HostClock::now() + 2 * LongestSleep + std::chrono::milliseconds(20);
    auto timer = Timer(io);
    timer.expires_at(due);
    auto ends = 0;
    auto endedAt = HostClock::time_point();
    timer.async_wait([&](const boost::system::error_code &ec) {
        ends += ec ? 0 : 1;
        endedAt = HostClock::now();
    });
    io.run();
    cr_assert_eq(ends, 1);
    cr_assert(endedAt >= due);
}
