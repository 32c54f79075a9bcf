#pragma once

#include <cstdint>

#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// How our own calls to one upstream ended.
class OutcomeView
{
public:
    /// An answer came whole after `latency`.
    auto didSucceed(Duration latency, TimePoint now) -> void;

    /// An attempt failed or was lost, other than by a refusal for overload.
    auto didFail(TimePoint now) -> void;

    /// Share of attempts that ended well, smoothed; comes back to 1 while nothing is sent.
    [[nodiscard]] auto successRate(TimePoint now, Duration recovery) const -> double;

    [[nodiscard]] auto consecutiveFailures() const -> std::uint32_t
    {
        return m_consecutiveFailures;
    }

    /// Attempts that ended since the start or the last forget().
    [[nodiscard]] auto attempts() const -> std::uint32_t { return m_attempts; }

    /// The least that an answer takes, distance included; zero before the first one. Rises slowly, falls at once.
    [[nodiscard]] auto leastLatency() const -> Duration { return m_leastLatency; }

    /// Gives the upstream another chance after an ejection; the latency stays known.
    auto forgetFailures() -> void;

private:
    TimePoint m_endedAt{};
    Duration m_leastLatency{0};
    std::uint32_t m_attempts = 0;
    std::uint32_t m_consecutiveFailures = 0;
    float m_successRate = 1;
};

} // namespace stairspur::routing
