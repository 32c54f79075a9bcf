#pragma once

#include <utility>

#include <stairspur/core/Time.h>

namespace stairspur {

/// Detects that this process did not run for a while, because it or its host was suspended or the host was too busy. Others may
/// have taken it for dead meanwhile. A timer alone may detect it too late: after a suspension, messages that have arrived
/// meanwhile may be processed before timers. So whoever acts on such a message calls didRun() first.
class SuspensionDetector
{
public:
    /// A pause longer than `limit` counts as a suspension. didRun() must be called in much shorter intervals.
    SuspensionDetector(Duration limit, TimePoint now)
        : m_limit(limit)
        , m_lastRun(now)
    {}

    /// Records that the process runs. Returns whether it was suspended since the last call.
    auto didRun(TimePoint now) -> bool { return now - std::exchange(m_lastRun, now) > m_limit; }

private:
    Duration m_limit;
    TimePoint m_lastRun;
};

} // namespace stairspur
