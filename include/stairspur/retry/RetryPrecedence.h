#pragma once

#include <algorithm>
#include <cstdint>

#include <stairspur/core/Level.h>

namespace stairspur::retry {

/// Number of calls left from which on all requests get the same precedence, in calls. At a service that refuses half of
/// its arrivals, each such request needs ten retries or more.
inline constexpr auto MaxDistinctCallsLeft = std::uint32_t{8};

/// Returns the precedence of a call among the calls that need a retry. Calls of greater precedence are retried first.
///
/// `callsLeft`: calls of the same kind that the root request still has to make, including this one.
///
/// The class is compared first. Within a class, requests with fewer calls left have precedence: each call left may need
/// more retries, and the retries of a request that is not completed are wasted. The hash of the root is compared last,
/// as in all other modules.
constexpr auto retryPrecedence(Level level, std::uint32_t callsLeft) -> Level
{
    constexpr auto LevelsPerStep = HashesPerClass / MaxDistinctCallsLeft;
    const auto step = MaxDistinctCallsLeft - std::clamp(callsLeft, 1U, MaxDistinctCallsLeft);
    const auto hash = level.value % HashesPerClass;
    return makeLevel(level.rank(), step * LevelsPerStep + hash / MaxDistinctCallsLeft);
}

} // namespace stairspur::retry
