#include "ServiceTime.h"

#include <cmath>

namespace stairspur::admission {

namespace {

/// Weight of one latency, by which the mean follows a change within a few dozen calls.
constexpr auto Weight = 0.05;

} // namespace

auto ServiceTime::didMeasure(Duration latency) -> void
{
    const auto microseconds = static_cast<double>(latency.count());
    m_meanMicroseconds += (microseconds - m_meanMicroseconds) * (m_hasMeasurement ? Weight : 1.0);
    m_hasMeasurement = true;
}

auto ServiceTime::didExceed(Duration latency) -> void
{
    if (latency > mean())
        didMeasure(latency);
}

auto ServiceTime::mean() const -> Duration
{
    return Duration(std::llround(m_meanMicroseconds));
}

} // namespace stairspur::admission
