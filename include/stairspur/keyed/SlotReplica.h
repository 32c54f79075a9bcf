#pragma once

#include <cstdint>
#include <map>

#include <stairspur/keyed/PrimarySlot.h>
#include <stairspur/keyed/WitnessSlot.h>

namespace stairspur::keyed {

/// One slot on one node, which may be its primary, its witness or neither.
template <typename Guards = StandardGuards>
class SlotReplica
{
public:
    SlotReplica(Replica own, const SlotSettings &settings);
    SlotReplica(const SlotReplica &) = delete;
    SlotReplica(SlotReplica &&) = delete;
    auto operator=(const SlotReplica &) -> SlotReplica & = delete;
    auto operator=(SlotReplica &&) -> SlotReplica & = delete;
    ~SlotReplica() = default;

    /// Adopts a placement that was read from the store. An older placement is ignored.
    auto adopt(const SlotPlacement &placement, Instant now, Effects &effects) -> void;

    /// Seals the epoch: nothing is bound or acknowledged in it from now on.
    auto seal() -> void { m_state.isSealed = true; }

    /// Returns the records as an offer to the members of `proposed`. seal() must have been called.
    [[nodiscard]] auto makeOffer(const SlotPlacement &proposed) -> SnapshotOffer;
    /// Stores an offer until its epoch or a later one is adopted, and acknowledges it.
    auto didReceiveOffer(const Replica &from, SnapshotOffer offer, Effects &effects) -> void;

    /// Handles the witness's refusal of an update by adopting the newer placement or sending the own one.
    auto didReceiveRefusal(const Replica &from, const RecordRefusal &refusal, Instant now,
                           Effects &effects) -> void;

    /// Removes expired records and raises the low-water mark. Returns the number of removed records.
    auto dropExpired(Instant now) -> std::size_t;
    /// Records that the home of keys without an explicit home may have changed.
    auto recordHomeChange(Instant now) -> void { m_state.records.recordHomeChange(now.wall); }

    /// Resends what is due, see PrimarySlot::tick().
    auto tick(Instant now, Effects &effects) -> void { m_primary.tick(now, effects); }

    [[nodiscard]] auto primary() -> PrimarySlot<Guards> & { return m_primary; }
    [[nodiscard]] auto primary() const -> const PrimarySlot<Guards> & { return m_primary; }
    [[nodiscard]] auto witness() -> WitnessSlot<Guards> & { return m_witness; }
    [[nodiscard]] auto state() const -> const SlotState & { return m_state; }

private:
    [[nodiscard]] auto takeRecordsFor(const SlotPlacement &placement) -> bool;
    auto clearRecords() -> void;
    auto install(const SnapshotOffer &offer) -> void;
    auto settleOpenKeys() -> void;

    SlotState m_state;
    PrimarySlot<Guards> m_primary;
    WitnessSlot<Guards> m_witness;
    /// Offers by source, each for an epoch that is not adopted yet.
    std::map<Replica, SnapshotOffer> m_offers;
    std::uint64_t m_offerSequence = 0;
};

extern template class PrimarySlot<StandardGuards>;
extern template class WitnessSlot<StandardGuards>;
extern template class SlotReplica<StandardGuards>;

} // namespace stairspur::keyed
