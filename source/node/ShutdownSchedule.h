#pragma once

#include <algorithm>
#include <optional>

#include <stairspur/core/Time.h>

namespace stairspur::node {

/// Decides which calls a node accepts during its shutdown, and until when they may run.
///
/// The shutdown has two phases. During the stop notice all calls are accepted, because callers do not know yet that the node
/// stops. After it a call is accepted if it ends before the node does: a call of a caller by its own deadline, and a deeper
/// call of a running call in any case, because its parent fails without it.
class ShutdownSchedule
{
public:
    /// Starts the stop notice. The node ends the calls that still run at `end`.
    auto start(TimePoint end) -> void { m_end = end; }

    /// Ends the stop notice. Has no effect before start().
    auto endNotice() -> void { m_isNoticeOver = m_end.has_value(); }

    /// Returns whether a call that arrives at `now` is accepted.
    [[nodiscard]] auto accepts(bool isDeeperCall, TimePoint deadline, TimePoint now) const -> bool
    {
        if (!m_end)
            return true;
        if (hasEnded(now))
            return false;
        return isDeeperCall || !m_isNoticeOver || deadline <= *m_end;
    }

    /// Returns the deadline of a call, which is no later than the end of the node.
    [[nodiscard]] auto limit(TimePoint deadline) const -> TimePoint
    {
        return m_end ? std::min(deadline, *m_end) : deadline;
    }

    /// Returns whether the node ends the calls that still run.
    [[nodiscard]] auto hasEnded(TimePoint now) const -> bool { return m_end && now >= *m_end; }

    /// Returns the retry delay of a call that was not run because of the shutdown.
    [[nodiscard]] auto retryAfter(TimePoint now) const -> Duration
    {
        const auto remaining = m_end ? *m_end - now : Duration::zero();
        return std::max(std::chrono::duration_cast<Duration>(remaining), MinRetryAfter);
    }

private:
    /// Time in which a restarted node serves again.
    static constexpr auto MinRetryAfter = Duration{500'000};

    std::optional<TimePoint> m_end;
    bool m_isNoticeOver = false;
};

} // namespace stairspur::node
