#pragma once

#include <cstdint>
#include <utility>

#include <stairspur/core/Time.h>
#include <stairspur/keyed/PlacementTable.h>
#include <stairspur/keyed/RecordTable.h>

namespace stairspur::keyed {

struct SlotSettings
{
    RecordSettings records;
    Duration resendInterval{200'000}; ///< An unacknowledged message is sent again after this.
    Duration ackTimeout{
            1'000'000}; ///< Waiters are told `unknown` when the witness is silent for this long.
    Duration retryAfter{1'000'000}; ///< Told with refusals; the entry adds the jitter.
};

/// What the parts of a slot share on one node.
struct SlotState
{
    SlotState(Replica ownReplica, const SlotSettings &slotSettings)
        : own(std::move(ownReplica))
        , settings(slotSettings)
        , records(slotSettings.records)
    {}

    Replica own;
    SlotSettings settings;
    SlotPlacement placement; ///< The newest one known.
    /// Nothing is bound or acknowledged any more in the placement's epoch. Never undone but by a new epoch.
    bool isSealed = false;
    /// The records are complete for the placement's epoch.
    bool hasRecords = false;
    std::uint64_t sequence = 0; ///< Of the last update made here.
    RecordTable records;

    [[nodiscard]] auto isPrimary() const -> bool
    {
        return placement.epoch != 0 && placement.primary == own;
    }
    [[nodiscard]] auto isWitness() const -> bool
    {
        return placement.epoch != 0 && placement.witness == own;
    }
    [[nodiscard]] auto isMember() const -> bool { return isPrimary() || isWitness(); }

    /// The id of the next update made here.
    auto nextUpdate() -> UpdateId { return UpdateId{placement.epoch, ++sequence}; }
};

} // namespace stairspur::keyed
