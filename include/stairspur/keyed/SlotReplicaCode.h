#pragma once

// Member functions of SlotReplica and its parts, to be included where they are instantiated with other guards.

#include <utility>

#include <stairspur/keyed/PrimarySlotCode.h>
#include <stairspur/keyed/SlotReplica.h>
#include <stairspur/keyed/WitnessSlotCode.h>

namespace stairspur::keyed {

template <typename Guards>
SlotReplica<Guards>::SlotReplica(Replica own, const SlotSettings &settings)
    : m_state(std::move(own), settings)
    , m_primary(m_state)
    , m_witness(m_state)
{}

template <typename Guards>
auto SlotReplica<Guards>::adopt(const SlotPlacement &placement, Instant now, Effects &effects)
        -> void
{
    if (placement.epoch <= m_state.placement.epoch)
        return;
    const auto staysPrimary = m_state.isPrimary() && placement.primary == m_state.own
                              && placement.source == m_state.own;
    m_state.placement = placement;
    m_state.sequence = 0;
    if (!staysPrimary)
        m_primary.retire(now, effects);

    m_state.hasRecords = m_state.isMember() && takeRecordsFor(placement);
    m_state.isSealed = !m_state.hasRecords;
    std::erase_if(m_offers, [&](const auto &entry) {
        return entry.second.proposed.epoch <= placement.epoch;
    });
    if (!m_state.isMember())
        clearRecords();
    if (!m_state.isPrimary() || !m_state.hasRecords)
        return;
    if (!staysPrimary)
        settleOpenKeys();
    m_primary.resume(now, effects);
}

template <typename Guards>
auto SlotReplica<Guards>::takeRecordsFor(const SlotPlacement &placement) -> bool
{
    if (placement.source.isNone()) {
        clearRecords();
        if (Guards::LossIsRemembered && placement.lostAt != 0)
            m_state.records.recordLoss(placement.lostAt);
        return true;
    }
    if (placement.source == m_state.own)
        return m_state.hasRecords;
    const auto it = m_offers.find(placement.source);
    if (it != m_offers.end() && it->second.proposed.epoch == placement.epoch) {
        install(it->second);
        return true;
    }
    return !Guards::RecordsGoFirst;
}

template <typename Guards>
auto SlotReplica<Guards>::clearRecords() -> void
{
    const auto homesChangedAt = m_state.records.homesChangedAt();
    m_state.records = RecordTable(m_state.settings.records);
    m_state.records.recordHomeChange(homesChangedAt);
}

template <typename Guards>
auto SlotReplica<Guards>::install(const SnapshotOffer &offer) -> void
{
    clearRecords();
    m_state.records.raiseLowWater(offer.lowWater);
    m_state.records.recordLoss(offer.lostAt);
    m_state.records.recordHomeChange(offer.homesChangedAt);
    for (const auto &record : offer.records)
        m_state.records.put(record);
}

template <typename Guards>
auto SlotReplica<Guards>::settleOpenKeys() -> void
{
    if (!Guards::TakeoverSettlesOpenKeys)
        return;
    // It can't be determined whether the former primary ran these keys, so they are never run again.
    auto open = std::vector<KeyRecord>();
    for (const auto &[key, record] : m_state.records.records()) {
        if (record.state == KeyState::Bound)
            open.push_back(record);
    }
    for (auto &record : open) {
        record.state = KeyState::Unknown;
        m_state.records.put(std::move(record));
    }
}

template <typename Guards>
auto SlotReplica<Guards>::makeOffer(const SlotPlacement &proposed) -> SnapshotOffer
{
    auto offer = SnapshotOffer{proposed, ++m_offerSequence};
    offer.lowWater = m_state.records.lowWater();
    offer.lostAt = m_state.records.lostAt();
    offer.homesChangedAt = m_state.records.homesChangedAt();
    for (const auto &[key, record] : m_state.records.records()) {
        auto copy = record;
        // Since the epoch is sealed, a binding that the witness has not acknowledged is never dispatched in it.
        if (m_primary.isUndispatched(key))
            copy.state = KeyState::NotRun;
        offer.records.push_back(std::move(copy));
    }
    return offer;
}

template <typename Guards>
auto SlotReplica<Guards>::didReceiveOffer(const Replica &from, SnapshotOffer offer,
                                          Effects &effects) -> void
{
    const auto &proposed = offer.proposed;
    const auto isProposedMember =
            proposed.primary == m_state.own || proposed.witness == m_state.own;
    if (!isProposedMember || proposed.epoch <= m_state.placement.epoch || proposed.source != from)
        return;
    const auto accept = SnapshotAccept{proposed.epoch, offer.sequence};
    const auto it = m_offers.find(from);
    const auto isOlder = it != m_offers.end()
                         && std::pair(it->second.proposed.epoch, it->second.sequence)
                                    > std::pair(proposed.epoch, offer.sequence);
    if (isOlder)
        return;
    m_offers.insert_or_assign(from, std::move(offer));
    effects.sends.push_back({from, accept});
}

template <typename Guards>
auto SlotReplica<Guards>::didReceiveRefusal(const Replica &from, const RecordRefusal &refusal,
                                            Instant now, Effects &effects) -> void
{
    if (refusal.placement.epoch > m_state.placement.epoch)
        return adopt(refusal.placement, now, effects);
    if (refusal.placement.epoch < m_state.placement.epoch)
        effects.sends.push_back({from, PlacementNotice{m_state.placement}});
}

template <typename Guards>
auto SlotReplica<Guards>::dropExpired(Instant now) -> std::size_t
{
    return m_state.records.dropExpired(now.wall, Guards::ForgettingRaisesMark);
}

} // namespace stairspur::keyed
