#pragma once

#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// How long the backend server takes for a call: an exponentially weighted mean of its latencies.
class ServiceTime
{
public:
    /// A call ran to its end in `latency`.
    auto didMeasure(Duration latency) -> void;

    /// A call was given up on after `latency`, so that it would have taken at least that long.
    auto didExceed(Duration latency) -> void;

    /// The mean; zero until something was measured.
    [[nodiscard]] auto mean() const -> Duration;

private:
    double m_meanMicroseconds = 0;
    bool m_isKnown = false;
};

} // namespace stairspur::admission
