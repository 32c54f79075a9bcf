#pragma once

#include "UpstreamView.h"

namespace stairspur::routing {

/// What the pool as a whole tells of an upstream whose own report is old or missing.
class LoadEstimate
{
public:
    LoadEstimate(TimePoint now, Duration halfLife, Duration recovery)
        : m_now(now)
        , m_halfLife(halfLife)
        , m_recovery(recovery)
    {}

    /// Takes an upstream into the mean, by the confidence in its report.
    auto include(const UpstreamView &view) -> void;

    /// The load of an upstream with one more call: lower is better. Others' calls are the reported ones, drawn towards
    /// the pool's mean as the report ages; our own ones are counted exactly. Divided by the share of our calls that
    /// end well, so that an upstream which fails fast does not look idle.
    [[nodiscard]] auto loadOf(const UpstreamView &view) const -> double;

    /// How long a call sent now is believed to take at the least: the aged wait, service and distance.
    [[nodiscard]] auto expectedTime(const UpstreamView &view) const -> Duration;

private:
    TimePoint m_now;
    Duration m_halfLife;
    Duration m_recovery;
    double m_weights = 0;
    double m_weightedLoads = 0;
};

} // namespace stairspur::routing
