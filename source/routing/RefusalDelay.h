#pragma once

#include <stairspur/core/Level.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/routing/UpstreamPool.h>

namespace stairspur::routing {

/// Returns the retry delay of a call of `level` that was refused by `floor`. The delay doubles with each class that the
/// floor is above the call, up to the maximum of the settings, and has a random jitter of plus or minus one half, so that refused
/// callers don't retry all at once.
auto floorDelay(Level level, Level floor, const RoutingSettings &settings, Random &random)
        -> Duration;

/// Returns the retry delay of a call that found no upstream. It is longer than `retryAfterBase`, because membership takes
/// seconds to change.
auto noUpstreamDelay(const RoutingSettings &settings, Random &random) -> Duration;

} // namespace stairspur::routing
