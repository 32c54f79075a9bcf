#pragma once

#include <malloc.h>

#include <cstdint>
#include <cstdio>
#include <ctime>

#include <stairspur/core/Identifiers.h>

namespace stairspur::capacity {

/// Bytes that the process holds from the allocator, large blocks included.
inline auto heapBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// Microseconds of processor time of this process.
inline auto processorMicroseconds() -> double
{
    auto now = timespec();
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return 1e6 * static_cast<double>(now.tv_sec) + 1e-3 * static_cast<double>(now.tv_nsec);
}

inline auto print(const char *name, double value, const char *unit) -> void
{
    std::printf("%-58s %12.2f %s\n", name, value, unit);
    std::fflush(stdout);
}

/// Microseconds that one of `count` runs of `work` takes.
template <typename Work>
auto measureProcessor(const char *name, std::uint32_t count, const Work &work) -> void
{
    const auto begin = processorMicroseconds();
    for (auto index = std::uint32_t{0}; index < count; ++index)
        work(index);
    print(name, (processorMicroseconds() - begin) / count, "us");
}

/// The id of one of many nodes, as long as real ones are.
inline auto nodeId(std::uint32_t index) -> NodeId
{
    return "10." + std::to_string(20 + index / 62'500) + "." + std::to_string(index / 250 % 250)
           + "." + std::to_string(index % 250 + 1) + ":7100";
}

} // namespace stairspur::capacity
