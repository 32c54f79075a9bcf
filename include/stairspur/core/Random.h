#pragma once

#include <cstdint>
#include <random>

namespace stairspur {

/// Random number generator. It is injected, so that tests can seed it.
using Random = std::mt19937_64;

/// Returns a uniformly distributed number in [0, bound). `bound` must be at least 1.
inline auto randomBelow(Random &random, std::uint64_t bound) -> std::uint64_t
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/// Returns a uniformly distributed number in [0, 1).
inline auto randomUnit(Random &random) -> double
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace stairspur
