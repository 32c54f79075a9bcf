#pragma once

#include <algorithm>

#include <stairspur/core/Time.h>

namespace stairspur::store {

/// How long an answer to a read may take before the read is sent a second time, on a connection of its own.
///
/// The kept connection may have fallen silent, or a packet may be lost. A slow store is no reason to ask it twice, so the
/// delay follows the time that its latest answer took.
class HedgeDelay
{
public:
    static constexpr auto MinDelay = Duration{200'000};
    static constexpr auto MaxDelay = Duration{1'000'000};

    [[nodiscard]] auto value() const -> Duration
    {
        return std::clamp(LatencyFactor * m_latency, MinDelay, MaxDelay);
    }

    /// An answer took `latency` from the time at which its own copy of the read was sent.
    auto didReceiveAnswer(Duration latency) -> void { m_latency = latency; }

private:
    static constexpr auto LatencyFactor = 2;

    Duration m_latency{0};
};

} // namespace stairspur::store
