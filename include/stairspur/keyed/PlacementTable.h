#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/keyed/Replica.h>

namespace stairspur::keyed {

/// Who answers for the keys of one slot.
struct SlotPlacement
{
    std::uint64_t epoch = 0; ///< Grows by one with every change; 0: never placed.
    Replica primary;         ///< Binds keys and has them dispatched.
    Replica witness;         ///< Records each key before it is dispatched.
    /// The replica whose records this epoch continues; none when it began without records.
    Replica source;
    /// When records of earlier epochs were lost, on the writer's clock; 0: never.
    WallMilliseconds lostAt = 0;

    auto operator==(const SlotPlacement &) const -> bool = default;
};

/// The placement of all slots of a service in a failure domain: one value in the platform's store.
struct PlacementTable
{
    std::string service;
    std::string domain;
    std::vector<SlotPlacement> slots; ///< Their number is fixed when the table is first written.

    auto operator==(const PlacementTable &) const -> bool = default;
};

/// The store's key of a table.
auto placementKey(std::string_view service, std::string_view domain) -> std::string;

/// The table as CBOR.
auto encodePlacementTable(const PlacementTable &table) -> std::string;

/// Throws InputError when `bytes` is not a table.
auto decodePlacementTable(std::string_view bytes) -> PlacementTable;

} // namespace stairspur::keyed
