#pragma once

#include <optional>

#include "UpstreamView.h"

namespace stairspur::routing {

/// Estimates the floor of the services below a service, for one class and path, from the reports of all its upstreams.
///
/// The deeper services admit the same levels whichever upstream a call goes through, so each report applies to all
/// upstreams. An entry with links to 16 of a hundred upstreams receives a report of each one every two seconds, but a
/// report of any of them every eighth of a second; taken separately, most reports would be too old to refuse a call.
///
/// Reports are weighted by age. The estimate is their mean, because calls are spread evenly over the upstreams: the share
/// of calls that a service admits is the mean of its upstreams' shares. An upstream with a closed path is left out while
/// there are others, since calls are sent to the others.
class PathFloorEstimate
{
public:
    PathFloorEstimate(FloorKey key, TimePoint now, Duration halfLife);

    /// Includes the last report of an upstream, if there was one within the lifetime of a floor.
    auto include(const UpstreamView &view) -> void;

    /// Returns the floor of the path by all reports, or the lowest level without any report. It decays while no report is
    /// received.
    [[nodiscard]] auto floor() const -> Level;

    /// Returns the estimated floor for a call through `view`: its own report, which moves towards the pooled floor as it
    /// ages.
    [[nodiscard]] auto floorOf(const UpstreamView &view) const -> Level;

    /// Returns the age of the latest report, or nothing without any report.
    [[nodiscard]] auto age() const -> std::optional<Duration>;

private:
    [[nodiscard]] auto weightOf(const UpstreamView &view) const -> double;
    [[nodiscard]] auto mean() const -> Level;

    FloorKey m_key;
    TimePoint m_now;
    Duration m_halfLife;
    std::optional<TimePoint> m_latestReportAt;
    double m_weights = 0; ///< Sum of the weights of reports with an open path.
    double m_weightedLevels = 0;
};

} // namespace stairspur::routing
