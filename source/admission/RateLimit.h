#pragma once

#include <cstdint>
#include <optional>

#include <stairspur/core/Time.h>
#include <stairspur/core/TokenBucket.h>

namespace stairspur::admission {

/// The number of calls per second that the backend server takes, as it states itself. Each call that is sent takes a
/// token. Without a statement there is no limit.
///
/// When the server no longer states a limit, the rate grows exponentially for a few seconds before the limit ends, so
/// that a server that has just recovered isn't thrown back.
class RateLimit
{
public:
    /// Applies the rate that the backend server states from `now` on; nothing if it states none any more.
    auto set(std::optional<double> perSecond, TimePoint now) -> void;

    /// Sets the time to which the other functions refer, and lets the rate grow after the end of a statement.
    auto advanceTo(TimePoint now) -> void;

    /// Returns whether there is a limit now, stated or growing.
    [[nodiscard]] auto isSet() const -> bool { return m_bucket.has_value(); }

    /// Returns the rate in calls per second. There must be a limit.
    [[nodiscard]] auto perSecond() const -> double { return m_bucket->perSecond(); }

    /// Returns whether a call may be sent now.
    [[nodiscard]] auto hasToken() const -> bool { return timeUntil(1) == Duration::zero(); }

    /// Takes a token for a call that is sent. hasToken() must be true.
    auto take() -> void;

    /// Returns the token of a call of which nothing was sent.
    auto giveBack() -> void;

    /// Returns the time until the last of `calls` calls may be sent, if no others are.
    [[nodiscard]] auto timeUntil(std::uint32_t calls) const -> Duration;

private:
    auto setRate(double perSecond) -> void;

    mutable std::optional<TokenBucket> m_bucket; ///< Reading the tokens adds those that are due.
    double m_statedRate = 0;                     ///< The last one, in calls per second.
    std::optional<TimePoint> m_endedAt; ///< When the statement ended; empty while it holds.
    TimePoint m_now{};
};

} // namespace stairspur::admission
