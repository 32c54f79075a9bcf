#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/keyed/Replica.h>

namespace stairspur::keyed {

/// The replicas that are responsible for the keys of one slot.
struct SlotPlacement
{
    std::uint64_t epoch = 0; ///< Incremented by each change; 0 before the first placement.
    Replica primary;         ///< Binds keys and has them dispatched.
    Replica witness;         ///< Records each key before it is dispatched.
    /// The replica whose records this epoch continues; none when it started without records.
    Replica source;
    /// Time at which records of earlier epochs were lost, on the writer's clock; 0 when none were lost.
    WallMilliseconds lostAt = 0;

    auto operator==(const SlotPlacement &) const -> bool = default;
};

/// The placement of all slots of a service in a failure domain, stored as one value in the platform's store.
struct PlacementTable
{
    std::string service;
    std::string domain;
    std::vector<SlotPlacement> slots; ///< The first write of the table fixes their number.

    auto operator==(const PlacementTable &) const -> bool = default;
};

/// Returns the store's key of the table of `service` in `domain`.
auto placementKey(std::string_view service, std::string_view domain) -> std::string;

/// Returns the table as CBOR.
auto encodePlacementTable(const PlacementTable &table) -> std::string;

/// Returns the table that `bytes` encodes. Throws InputError when they don't encode a table.
auto decodePlacementTable(std::string_view bytes) -> PlacementTable;

} // namespace stairspur::keyed
