#pragma once

#include <cstdint>
#include <map>

#include <stairspur/keyed/PrimarySlot.h>
#include <stairspur/keyed/WitnessSlot.h>

namespace stairspur::keyed {

/// One slot on one node, whatever its part in it: primary, witness, or neither.
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

    /// `placement` stands in the store. Whatever is older is ignored.
    auto adopt(const SlotPlacement &placement, Instant now, Effects &effects) -> void;

    /// Neither binds nor acknowledges anything in this epoch any more.
    auto seal() -> void { m_state.isSealed = true; }

    /// The records for the members of `proposed`. Call seal() first.
    [[nodiscard]] auto makeOffer(const SlotPlacement &proposed) -> SnapshotOffer;
    /// Keeps an offer until its epoch is adopted or passed, and acknowledges it.
    auto didReceiveOffer(const Replica &from, SnapshotOffer offer, Effects &effects) -> void;

    /// The witness refused an update: one of the two is behind.
    auto didReceiveRefusal(const Replica &from, const RecordRefusal &refusal, Instant now,
                           Effects &effects) -> void;

    /// Drops old records and raises the low-water mark. How many were dropped.
    auto forget(Instant now) -> std::size_t;
    /// Keys without an explicit home may belong elsewhere than they did.
    auto noteHomeChange(Instant now) -> void { m_state.records.noteHomeChange(now.wall); }

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
    /// By source; each for an epoch that is not written yet.
    std::map<Replica, SnapshotOffer> m_offers;
    std::uint64_t m_offerSequence = 0;
};

extern template class PrimarySlot<StandardGuards>;
extern template class WitnessSlot<StandardGuards>;
extern template class SlotReplica<StandardGuards>;

} // namespace stairspur::keyed
