#pragma once

#include <map>
#include <string>

#include <stairspur/keyed/PlacementKeeper.h>

namespace stairspur::keyed::test {

/// Simulates the platform's store with compare-and-swap and its faults.
struct VirtualStore
{
    struct Value
    {
        std::uint64_t revision = 0;
        PlacementTable table;
    };

    bool isDown = false;
    bool isSlow = false;
    bool losesAnswers = false;
    std::map<std::string, Value> values; ///< Placement tables by domain.
    int writes = 0;

    auto heal() -> void { isDown = isSlow = losesAnswers = false; }

    auto read(const std::string &domain) -> TableRead
    {
        const auto &value = values[domain];
        return {true, value.revision, value.table};
    }

    auto compareAndSwap(const std::string &domain, const TableWrite &write) -> WriteResult
    {
        auto &value = values[domain];
        if (value.revision != write.revision)
            return WriteResult::Conflict;
        ++value.revision;
        ++writes;
        value.table = write.table;
        return WriteResult::Written;
    }
};

} // namespace stairspur::keyed::test
