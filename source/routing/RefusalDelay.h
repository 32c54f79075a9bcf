#pragma once

#include <stairspur/core/Level.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/routing/UpstreamPool.h>

namespace stairspur::routing {

/// When a call of `level` should come back that met `floor`: doubles with each class that the floor stands above the
/// call, within the settings' bounds, and is spread by half either way so that refused callers don't return as one.
auto floorDelay(Level level, Level floor, const RoutingSettings &settings, Random &random)
        -> Duration;

/// When a call should come back that found no upstream: membership needs seconds to change.
auto absenceDelay(const RoutingSettings &settings, Random &random) -> Duration;

} // namespace stairspur::routing
