#pragma once

// The definitions of PlacementKeeper's member functions, for instantiations with other guards.

#include <algorithm>
#include <utility>

#include <stairspur/keyed/PlacementKeeper.h>
#include <stairspur/keyed/PlacementKeeperProposals.h>
#include <stairspur/keyed/SlotReplicaCode.h>

namespace stairspur::keyed {

template <typename Guards>
PlacementKeeper<Guards>::PlacementKeeper(Replica own, std::string service, std::string domain,
                                         KeeperSettings settings, std::uint64_t seed)
    : m_own(std::move(own))
    , m_settings(settings)
    , m_random(seed)
{
    m_table.service = std::move(service);
    m_table.domain = std::move(domain);
}

template <typename Guards>
auto PlacementKeeper<Guards>::tick(Instant now, const std::vector<PlacementMember> &members,
                                   KeeperEffects &effects) -> void
{
    m_peers.clear();
    for (const auto &it : members) {
        if (it.isOfService && it.isAlive && it.replica != m_own)
            m_peers.push_back(it.replica);
    }
    const auto shouldDropExpired = now.steady >= m_nextExpiry;
    if (shouldDropExpired)
        m_nextExpiry = now.steady + m_settings.expiryInterval;
    for (auto &[number, slot] : m_slots) {
        auto slotEffects = Effects();
        slot->tick(now, slotEffects);
        if (shouldDropExpired)
            slot->dropExpired(now);
        mergeEffects(number, std::move(slotEffects), effects);
    }
    switch (m_phase) {
    case Phase::Idle:
        if (now.steady < m_nextStep)
            return;
        if (!m_shouldRefresh && plan(now, members, effects).empty()) {
            m_nextStep = now.steady + m_settings.planInterval;
            return;
        }
        m_phase = Phase::Batching;
        m_nextStep = now.steady
                     + Duration(randomBelow(m_random,
                                            std::uint64_t(m_settings.batchWindow.count()) + 1));
        return;
    case Phase::Batching:
        if (now.steady < m_nextStep)
            return;
        m_phase = Phase::Reading;
        effects.shouldRead = true;
        return;
    case Phase::Offering:
        return resendOffers(now, effects);
    case Phase::Reading:
    case Phase::Writing:
        return; // The store's client reports a timeout as a failed call.
    }
}

template <typename Guards>
auto PlacementKeeper<Guards>::didReceive(const Message &message, Instant now,
                                         KeeperEffects &effects) -> void
{
    if (message.to.session != 0 && message.to != m_own)
        return;
    const auto number = message.slot;
    auto slotEffects = Effects();
    const auto *body = &message.body;
    if (const auto *update = std::get_if<RecordUpdate>(body)) {
        slot(number).witness().didReceiveUpdate(message.from, *update, slotEffects);
        m_shouldRefresh = m_shouldRefresh || update->epoch > slot(number).state().placement.epoch;
    } else if (const auto *ack = std::get_if<RecordAck>(body)) {
        slot(number).primary().didReceiveAck(message.from, *ack, now, slotEffects);
    } else if (const auto *refusal = std::get_if<RecordRefusal>(body)) {
        slot(number).didReceiveRefusal(message.from, *refusal, now, slotEffects);
    } else if (const auto *notice = std::get_if<PlacementNotice>(body)) {
        adoptSlot(number, notice->placement, now, effects);
    } else if (const auto *offer = std::get_if<SnapshotOffer>(body)) {
        slot(number).didReceiveOffer(message.from, *offer, slotEffects);
    } else if (std::holds_alternative<SnapshotAccept>(*body)) {
        didReceiveAccept(message, effects);
    } else if (const auto *late = std::get_if<LateOutcome>(body)) {
        slot(number).primary().didReceiveLateOutcome(message.from, *late, now, slotEffects);
    } else if (const auto *accept = std::get_if<LateAccept>(body)) {
        slot(number).primary().didReceiveLateAccept(*accept);
    } else if (const auto *lookup = std::get_if<Lookup>(body)) {
        slot(number).witness().lookUp({message.from.node, lookup->waiter}, *lookup, slotEffects);
    } else if (const auto *call = std::get_if<Submit>(body)) {
        return submit(number, {message.from.node, call->waiter}, *call, now, effects);
    } else if (std::holds_alternative<TableRequest>(*body)) {
        send(number, message.from, TableNotice{m_table}, effects);
    } else if (const auto *table = std::get_if<TableNotice>(body)) {
        adoptTable(table->table, now, effects);
    }
    mergeEffects(number, std::move(slotEffects), effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::submit(std::uint32_t number, const Waiter &waiter,
                                     const Submit &submit, Instant now, KeeperEffects &effects)
        -> void
{
    auto slotEffects = Effects();
    auto &replica = slot(number);
    m_shouldRefresh = m_shouldRefresh || submit.epoch > replica.state().placement.epoch;
    replica.primary().submit(waiter, submit, now, slotEffects);
    mergeEffects(number, std::move(slotEffects), effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::replyMoved(const Waiter &waiter, KeeperEffects &effects) -> void
{
    auto reply = Reply{waiter.number, ReplyKind::Moved};
    reply.retryAfter = m_settings.slot.resendInterval;
    effects.replies.push_back({waiter, std::move(reply)});
}

template <typename Guards>
auto PlacementKeeper<Guards>::cancel(std::uint32_t number, const Waiter &waiter) -> void
{
    slot(number).primary().cancel(waiter);
}

template <typename Guards>
auto PlacementKeeper<Guards>::didEnd(std::uint32_t number, const std::string &key, UpdateId bind,
                                     const DispatchResult &end, Instant now, KeeperEffects &effects)
        -> void
{
    auto slotEffects = Effects();
    slot(number).primary().didEnd(key, bind, end, now, slotEffects);
    mergeEffects(number, std::move(slotEffects), effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::recordHomeChange(Instant now) -> void
{
    m_homesChangedAt = std::max(m_homesChangedAt, now.wall);
    for (auto &[number, slot] : m_slots)
        slot->recordHomeChange(now);
}

template <typename Guards>
auto PlacementKeeper<Guards>::adoptTable(const PlacementTable &table, Instant now,
                                         KeeperEffects &effects) -> void
{
    if (m_table.slots.size() < table.slots.size())
        m_table.slots.resize(table.slots.size());
    for (std::uint32_t number = 0; number < table.slots.size(); ++number)
        adoptSlot(number, table.slots[number], now, effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::adoptSlot(std::uint32_t number, const SlotPlacement &placement,
                                        Instant now, KeeperEffects &effects) -> void
{
    const auto isOwnSlot = placement.primary == m_own || placement.witness == m_own;
    if (isOwnSlot || m_slots.contains(number)) {
        auto slotEffects = Effects();
        slot(number).adopt(placement, now, slotEffects);
        mergeEffects(number, std::move(slotEffects), effects);
    }
    if (number >= m_table.slots.size())
        m_shouldRefresh = true; // The slot is in a table that this node has not read.
    else if (placement.epoch > m_table.slots[number].epoch)
        m_table.slots[number] = placement;
}

template <typename Guards>
auto PlacementKeeper<Guards>::slot(std::uint32_t number) -> SlotReplica<Guards> &
{
    auto &slot = m_slots[number];
    if (!slot) {
        slot = std::make_unique<SlotReplica<Guards>>(m_own, m_settings.slot);
        slot->recordHomeChange({{}, m_homesChangedAt});
    }
    return *slot;
}

template <typename Guards>
auto PlacementKeeper<Guards>::recordSlotPlacement(std::uint32_t number) -> void
{
    // A refusal may have given the slot a newer placement.
    const auto it = m_slots.find(number);
    if (it == m_slots.end() || number >= m_table.slots.size())
        return;
    const auto &placement = it->second->state().placement;
    if (placement.epoch > m_table.slots[number].epoch)
        m_table.slots[number] = placement;
}

template <typename Guards>
auto PlacementKeeper<Guards>::isNeeded() const -> bool
{
    return std::any_of(m_slots.begin(), m_slots.end(), [](const auto &entry) {
        const auto &slot = *entry.second;
        return slot.state().isMember() || slot.primary().running() != 0
               || slot.primary().unreported() != 0;
    });
}

template <typename Guards>
auto PlacementKeeper<Guards>::records() const -> std::size_t
{
    auto n = std::size_t{0};
    for (const auto &[number, slot] : m_slots)
        n += slot->state().records.records().size();
    return n;
}

template <typename Guards>
auto PlacementKeeper<Guards>::send(std::uint32_t slot, const Replica &to, MessageBody body,
                                   KeeperEffects &effects) -> void
{
    effects.messages.push_back({m_table.service, m_table.domain, slot, m_own, to, std::move(body)});
}

template <typename Guards>
auto PlacementKeeper<Guards>::mergeEffects(std::uint32_t slot, Effects &&from,
                                           KeeperEffects &effects) -> void
{
    recordSlotPlacement(slot);
    for (auto &it : from.sends)
        send(slot, it.to, std::move(it.body), effects);
    for (auto &it : from.dispatches)
        effects.dispatches.push_back({slot, std::move(it)});
    for (auto &it : from.replies)
        effects.replies.push_back(std::move(it));
}

} // namespace stairspur::keyed
