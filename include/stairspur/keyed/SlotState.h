#pragma once

#include <cstdint>
#include <utility>

#include <stairspur/core/Time.h>
#include <stairspur/keyed/PlacementTable.h>
#include <stairspur/keyed/RecordTable.h>

namespace stairspur::keyed {

/// Settings of the replicas of a slot.
struct SlotSettings
{
    RecordSettings records;
    Duration resendInterval{200'000}; ///< Time after which an unacknowledged message is resent.
    /// Time without an acknowledgement of the witness after which waiters are answered `unknown`.
    Duration ackTimeout{1'000'000};
    /// Retry delay that is sent with refusals. The entry adds the jitter.
    Duration retryAfter{1'000'000};
};

/// State that the parts of a slot on one node share.
struct SlotState
{
    SlotState(Replica ownReplica, const SlotSettings &slotSettings)
        : own(std::move(ownReplica))
        , settings(slotSettings)
        , records(slotSettings.records)
    {}

    Replica own;
    SlotSettings settings;
    SlotPlacement placement; ///< The newest placement that was received.
    /// Whether binding and acknowledging have stopped in the placement's epoch. Only a new epoch resets it.
    bool isSealed = false;
    /// Whether the records are complete for the placement's epoch.
    bool hasRecords = false;
    std::uint64_t sequence = 0; ///< Sequence number of the last update made here.
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

    /// Increments the sequence number and returns the id of the next update made here.
    auto nextUpdate() -> UpdateId { return UpdateId{placement.epoch, ++sequence}; }
};

} // namespace stairspur::keyed
