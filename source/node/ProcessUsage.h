#pragma once

#include <cstdint>
#include <string_view>

#include <stairspur/core/Time.h>

namespace stairspur::node {

/// Processor time and memory of this process, from proc(5).
struct ProcessUsage
{
    Duration cpu{0}; ///< Processor time of all threads in user and kernel mode since the start.
    std::uint64_t residentBytes = 0;
};

/// Parses the texts of /proc/self/stat and /proc/self/statm. Values that cannot be parsed are zero.
auto parseProcessUsage(std::string_view stat, std::string_view statm, std::int64_t ticksPerSecond,
                       std::int64_t pageBytes) -> ProcessUsage;

/// Returns the current usage of this process.
auto readProcessUsage() -> ProcessUsage;

} // namespace stairspur::node
