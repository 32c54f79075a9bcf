#pragma once

#include <algorithm>

#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// Share of a new upstream at its start. It is enough to warm the upstream up and to observe its outcomes.
inline constexpr auto SlowStartMinShare = 0.1;

/// Returns the share of the usual calls for an upstream that is new since `since`. It grows linearly to 1 over `duration`.
inline auto slowStartShare(TimePoint since, TimePoint now, Duration duration) -> double
{
    if (duration <= Duration::zero() || now - since >= duration)
        return 1.0;
    const auto age = std::max(Duration::zero(), now - since);
    const auto progress = static_cast<double>(age.count()) / static_cast<double>(duration.count());
    return SlowStartMinShare + (1.0 - SlowStartMinShare) * progress;
}

} // namespace stairspur::routing
