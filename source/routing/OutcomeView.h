#pragma once

#include <cstdint>

#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// The outcomes of this entry's own calls to one upstream.
class OutcomeView
{
public:
    /// Records a complete response that took `latency`.
    auto didSucceed(Duration latency, TimePoint now) -> void;

    /// Records a failed or lost attempt. Refusals for overload don't count as failures.
    auto didFail(TimePoint now) -> void;

    /// Returns the smoothed share of successful attempts. It returns to 1 with the half-life `recovery` while no attempt
    /// ends.
    [[nodiscard]] auto successRate(TimePoint now, Duration recovery) const -> double;

    /// Returns the number of failures since the last success.
    [[nodiscard]] auto consecutiveFailures() const -> std::uint32_t
    {
        return m_consecutiveFailures;
    }

    /// Returns the number of attempts that ended since the start or the last resetFailures().
    [[nodiscard]] auto attempts() const -> std::uint32_t { return m_attempts; }

    /// Returns the minimum latency of an answer, network distance included, or zero before the first answer. It rises
    /// slowly and falls at once.
    [[nodiscard]] auto minLatency() const -> Duration { return m_minLatency; }

    /// Resets the success rate and the failure count after an ejection; the minimum latency is kept.
    auto resetFailures() -> void;

private:
    TimePoint m_endedAt{};
    Duration m_minLatency{0};
    std::uint32_t m_attempts = 0;
    std::uint32_t m_consecutiveFailures = 0;
    float m_successRate = 1;
};

} // namespace stairspur::routing
