#pragma once

#include <algorithm>

#include <boost/asio/basic_waitable_timer.hpp>

#include <stairspur/core/Time.h>

namespace stairspur::transport {

/// How long a timer sleeps before it looks at the host's clock again.
///
/// The kernel's timers stand still while the host is suspended, so that a sleep of ten seconds could last minutes. With this
/// bound what fell due during a suspension happens within 0.25 s of its end, for four wake-ups a second at most in a thread that
/// would otherwise sleep (20 to 50 us each).
inline constexpr auto LongestSleep = std::chrono::milliseconds(250);

/// What Asio asks about the host's clock. Its WaitTraits requirements give the functions their names.
struct HostClockWait
{
    // NOLINTNEXTLINE(readability-identifier-naming)
    static auto to_wait_duration(const HostClock::duration &left) -> HostClock::duration
    {
        return std::min<HostClock::duration>(left, LongestSleep);
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    static auto to_wait_duration(const HostClock::time_point &due) -> HostClock::duration
    {
        return to_wait_duration(due - HostClock::now());
    }
};

/// A timer on the host's clock, for everything whose delay somebody could feel after a suspension.
using Timer = boost::asio::basic_waitable_timer<HostClock, HostClockWait>;

} // namespace stairspur::transport
