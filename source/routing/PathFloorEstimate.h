#pragma once

#include <optional>

#include "UpstreamView.h"

namespace stairspur::routing {

/// The floor that calls of one class and path meet below a service, as the reports of all its upstreams tell together.
///
/// What the services further down admit is the same whichever upstream a call goes through, so that each report speaks for
/// the others too. An entry that keeps links to 16 of a hundred upstreams hears each of them every two seconds, but one of
/// them every eighth of a second; taken one by one most views would be too old to refuse a call.
///
/// Each report counts by its age. The mean is right because upstreams are called evenly: the share of calls that a service
/// admits is the mean of the shares that its upstreams do. One whose path is closed altogether is left out
/// while there are others, since calls go to these.
class PathFloorEstimate
{
public:
    PathFloorEstimate(FloorKey key, TimePoint now, Duration halfLife);

    /// Takes the last report of an upstream in, if there was one.
    auto include(const UpstreamView &view) -> void;

    /// What the path admits by all reports; the lowest level where nobody was heard of. Falls while nobody is heard of.
    [[nodiscard]] auto floor() const -> Level;

    /// What a call through `view` is believed to meet: its own report, drawn towards the others' as it ages.
    [[nodiscard]] auto floorOf(const UpstreamView &view) const -> Level;

    /// How long ago the youngest of the reports came; nothing where none came.
    [[nodiscard]] auto age() const -> std::optional<Duration>;

private:
    [[nodiscard]] auto weightOf(const UpstreamView &view) const -> double;
    [[nodiscard]] auto mean() const -> Level;

    FloorKey m_key;
    TimePoint m_now;
    Duration m_halfLife;
    std::optional<TimePoint> m_youngest;
    double m_weights = 0; ///< Of the reports that leave the way open.
    double m_weightedLevels = 0;
};

} // namespace stairspur::routing
