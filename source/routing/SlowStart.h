#pragma once

#include <algorithm>

#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// Share of a new upstream at its very start: enough to warm it up and to learn how it does.
inline constexpr auto SlowStartLeastShare = 0.1;

/// The share of its usual calls that an upstream gets which is new since `since`: grows evenly to 1 over `duration`.
inline auto slowStartShare(TimePoint since, TimePoint now, Duration duration) -> double
{
    if (duration <= Duration::zero() || now - since >= duration)
        return 1.0;
    const auto age = std::max(Duration::zero(), now - since);
    const auto progress = static_cast<double>(age.count()) / static_cast<double>(duration.count());
    return SlowStartLeastShare + (1.0 - SlowStartLeastShare) * progress;
}

} // namespace stairspur::routing
