#pragma once

#include <algorithm>
#include <cstdint>

#include <stairspur/core/Level.h>

namespace stairspur::retry {

/// Requests with this many calls left or more are not told apart: of a service that refuses half of its arrivals they take
/// ten retries and more each.
inline constexpr auto MostCallsToTellApart = std::uint32_t{8};

/// Where a call stands among those that want a retry; the greater one gets it. `callsLeft`: calls of its kind that its
/// root request still has to make, this one included.
///
/// The class comes first. Within it the requests that need the fewest calls more do: each call left costs more retries, and
/// what was spent on a request that is then not finished is lost. Then the hash of the root decides, as everywhere.
constexpr auto retryPrecedence(Level level, std::uint32_t callsLeft) -> Level
{
    constexpr auto LevelsPerStep = HashesPerClass / MostCallsToTellApart;
    const auto step = MostCallsToTellApart - std::clamp(callsLeft, 1U, MostCallsToTellApart);
    const auto hash = level.value % HashesPerClass;
    return makeLevel(level.rank(), step * LevelsPerStep + hash / MostCallsToTellApart);
}

} // namespace stairspur::retry
