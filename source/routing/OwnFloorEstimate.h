#pragma once

#include <vector>

#include "UpstreamView.h"

namespace stairspur::routing {

/// Estimates the floor that the upstreams of a service set for their own load. An entry reports it to the callers that
/// use its host.
///
/// Calls are sent to the upstreams that admit them, so the lowest floor would be right if all reports were current. An
/// entry that rarely receives a report of each upstream has mostly old floors; in a surge the lowest of them is the
/// oldest one and shows the load before the surge. The estimate is therefore the lower quartile of the floors that were
/// reported within a half-life, each weighted by its age.
class OwnFloorEstimate
{
public:
    OwnFloorEstimate(FloorKey key, TimePoint now, Duration halfLife)
        : m_key(key)
        , m_now(now)
        , m_halfLife(halfLife)
    {}

    /// Includes the floor of a usable upstream if it was reported within a half-life.
    auto include(const UpstreamView &view) -> void;

    /// Returns the estimate, or the lowest level if no floor was included.
    [[nodiscard]] auto floor() const -> Level;

private:
    /// The floor of one upstream.
    struct WeightedFloor
    {
        Level floor;
        double weight = 0; ///< From the age of the report.
    };

    FloorKey m_key;
    TimePoint m_now;
    Duration m_halfLife;
    std::vector<WeightedFloor> m_floors;
};

} // namespace stairspur::routing
