#pragma once

// The member functions of PlacementKeeper, for who instantiates it with other guards.

#include <algorithm>
#include <utility>

#include <stairspur/keyed/PlacementKeeper.h>
#include <stairspur/keyed/SlotReplicaCode.h>

namespace stairspur::keyed {

inline constexpr auto MaxBackoffShift = std::uint32_t{4};

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
    const auto shouldForget = now.steady >= m_nextForget;
    if (shouldForget)
        m_nextForget = now.steady + m_settings.forgetInterval;
    for (auto &[number, slot] : m_slots) {
        auto own = Effects();
        slot->tick(now, own);
        if (shouldForget)
            slot->forget(now);
        pass(number, std::move(own), effects);
    }
    switch (m_phase) {
    case Phase::Idle:
        if (now.steady < m_nextStep)
            return;
        if (!m_shouldRefresh && plan(now, members, effects).empty()) {
            m_nextStep = now.steady + m_settings.planInterval;
            return;
        }
        m_phase = Phase::Gathering;
        m_nextStep = now.steady
                     + Duration(randomBelow(m_random,
                                            std::uint64_t(m_settings.batchWindow.count()) + 1));
        return;
    case Phase::Gathering:
        if (now.steady < m_nextStep)
            return;
        m_phase = Phase::Reading;
        effects.shouldRead = true;
        return;
    case Phase::Offering:
        return resendOffers(now, effects);
    case Phase::Reading:
    case Phase::Writing:
        return; // The store's client reports a timeout as a failure.
    }
}

template <typename Guards>
auto PlacementKeeper<Guards>::plan(Instant now, const std::vector<PlacementMember> &members,
                                   KeeperEffects &effects) -> std::vector<PlacementChange>
{
    auto plan = planPlacement(m_table, members, now.wall, m_settings.placement);
    if (!Guards::LossNeedsProof && !plan.blocked.empty()) {
        auto believing = members;
        for (auto &it : believing)
            it.isConfirmedGone = it.isConfirmedGone || !it.isAlive;
        plan = planPlacement(m_table, believing, now.wall, m_settings.placement);
    }
    for (const auto number : plan.blocked) {
        if (m_blocked.insert(number).second)
            effects.decisions.push_back(
                    {DecisionStage::Blocked,
                     {number, PlacementCause::BothLost, m_table.slots[number], m_own}});
    }
    std::erase_if(m_blocked, [&](auto number) {
        return std::find(plan.blocked.begin(), plan.blocked.end(), number) == plan.blocked.end();
    });
    addRenewals(plan.changes);
    std::erase_if(plan.changes, [&](const auto &it) { return it.proposer != m_own; });
    return std::move(plan.changes);
}

template <typename Guards>
auto PlacementKeeper<Guards>::addRenewals(std::vector<PlacementChange> &changes) const -> void
{
    for (const auto &[number, slot] : m_slots) {
        const auto &state = slot->state();
        const auto isStuck = state.isSealed && state.hasRecords && state.isMember();
        const auto isPlanned = std::any_of(changes.begin(), changes.end(),
                                           [&](const auto &it) { return it.slot == number; });
        if (!isStuck || isPlanned || number >= m_table.slots.size())
            continue;
        auto proposed = m_table.slots[number];
        ++proposed.epoch;
        proposed.source = m_own;
        changes.push_back({number, PlacementCause::Renewal, std::move(proposed), m_own});
    }
}

template <typename Guards>
auto PlacementKeeper<Guards>::didRead(const TableRead &read, Instant now,
                                      const std::vector<PlacementMember> &members,
                                      KeeperEffects &effects) -> void
{
    if (m_phase != Phase::Reading)
        return;
    if (!read.isDone)
        return backOff(now);
    m_failures = 0;
    m_shouldRefresh = false;
    m_revision = read.revision;
    adoptTable(read.table, now, effects);

    const auto changes = plan(now, members, effects);
    m_proposals.clear();
    for (const auto &it : changes)
        startProposal(it, effects);
    if (m_proposals.empty())
        return finish(now, Duration(0));
    m_phase = Phase::Offering;
    m_nextStep = now.steady + m_settings.offerTimeout;
    m_nextOffer = now.steady + m_settings.slot.resendInterval;
    const auto isEveryoneReady = std::all_of(m_proposals.begin(), m_proposals.end(),
                                             [](const auto &it) { return it.awaited.empty(); });
    if (isEveryoneReady)
        startWriting(effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::startProposal(const PlacementChange &change, KeeperEffects &effects)
        -> void
{
    auto proposal = Proposal{change, 0, {}};
    effects.decisions.push_back({DecisionStage::Proposed, change});
    if (!change.proposed.source.isNone()) {
        auto &replica = slot(change.slot);
        if (!replica.state().hasRecords)
            return; // Nothing to continue from; the other member is the one to propose.
        if (Guards::ProposerSealsFirst)
            replica.seal();
        for (const auto &it : {change.proposed.primary, change.proposed.witness}) {
            if (it != m_own)
                proposal.awaited.insert(it);
        }
        offerTo(proposal, effects);
        if (!Guards::RecordsGoFirst)
            proposal.awaited.clear();
    }
    m_proposals.push_back(std::move(proposal));
}

template <typename Guards>
auto PlacementKeeper<Guards>::offerTo(Proposal &proposal, KeeperEffects &effects) -> void
{
    auto offer = slot(proposal.change.slot).makeOffer(proposal.change.proposed);
    proposal.offerSequence = offer.sequence;
    for (const auto &it : proposal.awaited)
        send(proposal.change.slot, it, offer, effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::resendOffers(Instant now, KeeperEffects &effects) -> void
{
    if (now.steady >= m_nextStep) {
        std::erase_if(m_proposals, [&](const auto &it) {
            if (!it.awaited.empty())
                effects.decisions.push_back({DecisionStage::Dropped, it.change});
            return !it.awaited.empty();
        });
        return m_proposals.empty() ? backOff(now) : startWriting(effects);
    }
    if (now.steady < m_nextOffer)
        return;
    m_nextOffer = now.steady + m_settings.slot.resendInterval;
    for (auto &it : m_proposals) {
        if (!it.awaited.empty())
            offerTo(it, effects);
    }
}

template <typename Guards>
auto PlacementKeeper<Guards>::didReceiveAccept(const Message &message, KeeperEffects &effects)
        -> void
{
    if (m_phase != Phase::Offering)
        return;
    const auto &accept = std::get<SnapshotAccept>(message.body);
    for (auto &it : m_proposals) {
        const auto isMeant = it.change.slot == message.slot
                             && it.change.proposed.epoch == accept.epoch
                             && it.offerSequence == accept.sequence;
        if (isMeant)
            it.awaited.erase(message.from);
    }
    const auto isEveryoneReady = std::all_of(m_proposals.begin(), m_proposals.end(),
                                             [](const auto &it) { return it.awaited.empty(); });
    if (isEveryoneReady)
        startWriting(effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::startWriting(KeeperEffects &effects) -> void
{
    m_phase = Phase::Writing;
    auto table = m_table;
    for (const auto &it : m_proposals) {
        if (it.change.slot >= table.slots.size())
            table.slots.resize(it.change.slot + 1);
        table.slots[it.change.slot] = it.change.proposed;
    }
    effects.write = TableWrite{m_revision, std::move(table)};
}

template <typename Guards>
auto PlacementKeeper<Guards>::didWrite(WriteResult result, std::uint64_t revision, Instant now,
                                       KeeperEffects &effects) -> void
{
    if (m_phase != Phase::Writing)
        return;
    const auto stage = result == WriteResult::Written    ? DecisionStage::Written
                       : result == WriteResult::Conflict ? DecisionStage::Conflict
                                                         : DecisionStage::Uncertain;
    for (const auto &it : m_proposals)
        effects.decisions.push_back({stage, it.change});
    if (result == WriteResult::Failed)
        return backOff(now);
    if (result == WriteResult::Conflict) {
        m_shouldRefresh = true;
        return finish(now, Duration(0));
    }
    m_revision = revision;
    auto table = m_table;
    for (const auto &it : m_proposals) {
        if (it.change.slot >= table.slots.size())
            table.slots.resize(it.change.slot + 1);
        noticeMembers(it.change, table.slots[it.change.slot], effects);
        table.slots[it.change.slot] = it.change.proposed;
    }
    adoptTable(table, now, effects);
    noticePeers(effects);
    finish(now, Duration(0));
}

template <typename Guards>
auto PlacementKeeper<Guards>::noticePeers(KeeperEffects &effects) -> void
{
    for (const auto &it : m_peers)
        send(0, it, TableNotice{m_table}, effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::noticeMembers(const PlacementChange &change,
                                            const SlotPlacement &former, KeeperEffects &effects)
        -> void
{
    const auto concerned = std::set<Replica>{former.primary, former.witness,
                                             change.proposed.primary, change.proposed.witness};
    for (const auto &it : concerned) {
        if (!it.isNone() && it != m_own)
            send(change.slot, it, PlacementNotice{change.proposed}, effects);
    }
}

template <typename Guards>
auto PlacementKeeper<Guards>::finish(Instant now, Duration pause) -> void
{
    m_phase = Phase::Idle;
    m_nextStep = now.steady + pause;
    m_proposals.clear();
}

template <typename Guards>
auto PlacementKeeper<Guards>::backOff(Instant now) -> void
{
    m_failures = std::min(m_failures + 1, MaxBackoffShift + 1);
    const auto longest = m_settings.storeBackoff * (1U << (m_failures - 1));
    // Between half and the whole, so that the nodes of a domain don't come back together.
    const auto half = std::uint64_t(longest.count()) / 2;
    m_shouldRefresh = true;
    finish(now, Duration(half + randomBelow(m_random, half + 1)));
}

template <typename Guards>
auto PlacementKeeper<Guards>::didReceive(const Message &message, Instant now,
                                         KeeperEffects &effects) -> void
{
    if (message.to.session != 0 && message.to != m_own)
        return;
    const auto number = message.slot;
    auto own = Effects();
    const auto *body = &message.body;
    if (const auto *update = std::get_if<RecordUpdate>(body)) {
        slot(number).witness().didReceiveUpdate(message.from, *update, own);
        m_shouldRefresh = m_shouldRefresh || update->epoch > slot(number).state().placement.epoch;
    } else if (const auto *ack = std::get_if<RecordAck>(body)) {
        slot(number).primary().didReceiveAck(message.from, *ack, now, own);
    } else if (const auto *refusal = std::get_if<RecordRefusal>(body)) {
        slot(number).didReceiveRefusal(message.from, *refusal, now, own);
    } else if (const auto *notice = std::get_if<PlacementNotice>(body)) {
        adoptSlot(number, notice->placement, now, effects);
    } else if (const auto *offer = std::get_if<SnapshotOffer>(body)) {
        slot(number).didReceiveOffer(message.from, *offer, own);
    } else if (std::holds_alternative<SnapshotAccept>(*body)) {
        didReceiveAccept(message, effects);
    } else if (const auto *late = std::get_if<LateOutcome>(body)) {
        slot(number).primary().didReceiveLateOutcome(message.from, *late, now, own);
    } else if (const auto *accept = std::get_if<LateAccept>(body)) {
        slot(number).primary().didReceiveLateAccept(*accept);
    } else if (const auto *lookup = std::get_if<Lookup>(body)) {
        slot(number).witness().lookUp({message.from.node, lookup->waiter}, *lookup, own);
    } else if (const auto *call = std::get_if<Submit>(body)) {
        return submit(number, {message.from.node, call->waiter}, *call, now, effects);
    } else if (std::holds_alternative<TableRequest>(*body)) {
        send(number, message.from, TableNotice{m_table}, effects);
    } else if (const auto *table = std::get_if<TableNotice>(body)) {
        adoptTable(table->table, now, effects);
    }
    pass(number, std::move(own), effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::submit(std::uint32_t number, const Waiter &waiter,
                                     const Submit &submit, Instant now, KeeperEffects &effects)
        -> void
{
    auto own = Effects();
    auto &replica = slot(number);
    m_shouldRefresh = m_shouldRefresh || submit.epoch > replica.state().placement.epoch;
    replica.primary().submit(waiter, submit, now, own);
    pass(number, std::move(own), effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::sayHomeIsElsewhere(const Waiter &waiter, KeeperEffects &effects)
        -> void
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
                                     const DispatchEnd &end, Instant now, KeeperEffects &effects)
        -> void
{
    auto own = Effects();
    slot(number).primary().didEnd(key, bind, end, now, own);
    pass(number, std::move(own), effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::noteHomeChange(Instant now) -> void
{
    m_homesChangedAt = std::max(m_homesChangedAt, now.wall);
    for (auto &[number, slot] : m_slots)
        slot->noteHomeChange(now);
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
    const auto concernsUs = placement.primary == m_own || placement.witness == m_own;
    if (concernsUs || m_slots.contains(number)) {
        auto own = Effects();
        slot(number).adopt(placement, now, own);
        pass(number, std::move(own), effects);
    }
    if (number >= m_table.slots.size())
        m_shouldRefresh = true; // A slot of a table that has not been read here.
    else if (placement.epoch > m_table.slots[number].epoch)
        m_table.slots[number] = placement;
}

template <typename Guards>
auto PlacementKeeper<Guards>::slot(std::uint32_t number) -> SlotReplica<Guards> &
{
    auto &slot = m_slots[number];
    if (!slot) {
        slot = std::make_unique<SlotReplica<Guards>>(m_own, m_settings.slot);
        slot->noteHomeChange({{}, m_homesChangedAt});
    }
    return *slot;
}

template <typename Guards>
auto PlacementKeeper<Guards>::noteSlot(std::uint32_t number) -> void
{
    // A slot may have learnt its placement from a refusal.
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
auto PlacementKeeper<Guards>::pass(std::uint32_t slot, Effects &&from, KeeperEffects &effects)
        -> void
{
    noteSlot(slot);
    for (auto &it : from.sends)
        send(slot, it.to, std::move(it.body), effects);
    for (auto &it : from.dispatches)
        effects.dispatches.push_back({slot, std::move(it)});
    for (auto &it : from.replies)
        effects.replies.push_back(std::move(it));
}

} // namespace stairspur::keyed
