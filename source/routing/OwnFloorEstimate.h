#pragma once

#include <vector>

#include "UpstreamView.h"

namespace stairspur::routing {

/// The floor that the upstreams of a service hold for their own load, as an entry tells it to those who call through its host.
///
/// Calls go to the upstreams that admit them, so that the lowest floor counts as long as it was reported a moment ago.
/// Where an entry hears of each upstream only now and then, the lowest of many old floors is merely the oldest: in a
/// surge it tells how things stood before. So the floor is the lower quartile of what was reported lately, each report
/// weighed by its age.
class OwnFloorEstimate
{
public:
    OwnFloorEstimate(FloorKey key, TimePoint now, Duration halfLife)
        : m_key(key)
        , m_now(now)
        , m_halfLife(halfLife)
    {}

    /// Takes in what is known of an upstream that can be used, if it was heard of within a half-life.
    auto include(const UpstreamView &view) -> void;

    /// The lowest level where nobody was heard of.
    [[nodiscard]] auto floor() const -> Level;

private:
    struct AgedFloor
    {
        Level floor;
        double weight = 0; ///< By the age of the report.
    };

    FloorKey m_key;
    TimePoint m_now;
    Duration m_halfLife;
    std::vector<AgedFloor> m_floors;
};

} // namespace stairspur::routing
