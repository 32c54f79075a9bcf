#pragma once

#include "UpstreamView.h"

namespace stairspur::routing {

/// Estimates the load of upstreams. For an upstream with an old or missing report the estimate uses the mean of the pool.
class LoadEstimate
{
public:
    LoadEstimate(TimePoint now, Duration halfLife, Duration recovery)
        : m_now(now)
        , m_halfLife(halfLife)
        , m_recovery(recovery)
    {}

    /// Includes an upstream in the mean, weighted by the confidence in its report.
    auto include(const UpstreamView &view) -> void;

    /// Returns the load of an upstream with one more call, as a multiple of its limit; lower is better. The load of other
    /// entries' calls comes from the report and moves towards the pool's mean as the report ages; this entry's own calls
    /// are counted exactly. The sum is divided by the success rate, so that an upstream that fails fast doesn't look idle.
    [[nodiscard]] auto loadOf(const UpstreamView &view) const -> double;

    /// Returns the minimum expected duration of a call that is sent now: the reported wait, reduced by the report's age,
    /// plus the minimum latency, which covers service time and network distance.
    [[nodiscard]] auto expectedTime(const UpstreamView &view) const -> Duration;

private:
    TimePoint m_now;
    Duration m_halfLife;
    Duration m_recovery;
    double m_weights = 0;
    double m_weightedLoads = 0;
};

} // namespace stairspur::routing
