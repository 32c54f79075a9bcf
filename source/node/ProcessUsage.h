#pragma once

#include <cstdint>
#include <string_view>

#include <stairspur/core/Time.h>

namespace stairspur::node {

/// What this process has used, from proc(5).
struct ProcessUsage
{
    Duration cpu{0}; ///< Of all threads, in user and kernel mode, since the start.
    std::uint64_t residentBytes = 0;
};

/// Reads the texts of /proc/self/stat and /proc/self/statm; what cannot be read there is zero.
auto parseProcessUsage(std::string_view stat, std::string_view statm, std::int64_t ticksPerSecond,
                       std::int64_t pageBytes) -> ProcessUsage;

/// This process now.
auto readProcessUsage() -> ProcessUsage;

} // namespace stairspur::node
