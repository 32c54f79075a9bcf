#pragma once

#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// Estimates the service time of the backend server as an exponentially weighted mean of its latencies.
class ServiceTime
{
public:
    /// Records that a call completed in `latency`.
    auto didMeasure(Duration latency) -> void;

    /// Records that a call was aborted after `latency`, so that its service time is at least that long.
    auto didExceed(Duration latency) -> void;

    /// Returns the mean; zero until a latency was recorded.
    [[nodiscard]] auto mean() const -> Duration;

private:
    double m_meanMicroseconds = 0;
    bool m_hasMeasurement = false;
};

} // namespace stairspur::admission
