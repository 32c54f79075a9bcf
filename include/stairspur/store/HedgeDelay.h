#pragma once

#include <algorithm>

#include <stairspur/core/Time.h>

namespace stairspur::store {

/// Delay after which an unanswered read is sent a second time as a hedged request, on a fresh connection.
///
/// The kept connection may be dead, or a packet may be lost. A slow store must not receive each read twice, so the
/// delay follows the latency of its latest answer.
class HedgeDelay
{
public:
    static constexpr auto MinDelay = Duration{200'000};
    static constexpr auto MaxDelay = Duration{1'000'000};

    /// Returns the current delay.
    [[nodiscard]] auto value() const -> Duration
    {
        return std::clamp(LatencyFactor * m_latency, MinDelay, MaxDelay);
    }

    /// Records the latency of an answer, from the time at which its own copy of the read was sent.
    auto didReceiveAnswer(Duration latency) -> void { m_latency = latency; }

private:
    static constexpr auto LatencyFactor = 2;

    Duration m_latency{0};
};

} // namespace stairspur::store
