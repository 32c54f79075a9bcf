#pragma once

// The definitions of PlacementKeeper's member functions that change the placement.

#include <algorithm>
#include <utility>

#include <stairspur/keyed/PlacementKeeper.h>

namespace stairspur::keyed {

inline constexpr auto MaxBackoffShift = std::uint32_t{4};

template <typename Guards>
auto PlacementKeeper<Guards>::plan(Instant now, const std::vector<PlacementMember> &members,
                                   KeeperEffects &effects) -> std::vector<PlacementChange>
{
    auto plan = planPlacement(m_table, members, now.wall, m_settings.placement);
    if (!Guards::LossNeedsProof && !plan.blocked.empty()) {
        auto assumedMembers = members;
        for (auto &it : assumedMembers)
            it.isConfirmedGone = it.isConfirmedGone || !it.isAlive;
        plan = planPlacement(m_table, assumedMembers, now.wall, m_settings.placement);
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
    if (!read.hasSucceeded)
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
    const auto areAllOffersAccepted =
            std::all_of(m_proposals.begin(), m_proposals.end(),
                        [](const auto &it) { return it.awaited.empty(); });
    if (areAllOffersAccepted)
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
            return; // This node has no records to continue from; the other member has to propose.
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
        if (!m_proposals.empty())
            return startWriting(effects);
        // The slots stay sealed until a renewal is written, so a new plan is made soon. The members that did not
        // reply are probed in the meantime, and the new plan leaves them out.
        m_shouldRefresh = true;
        return finish(now, m_settings.planInterval);
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
        const auto isCurrentOffer = it.change.slot == message.slot
                                    && it.change.proposed.epoch == accept.epoch
                                    && it.offerSequence == accept.sequence;
        if (isCurrentOffer)
            it.awaited.erase(message.from);
    }
    const auto areAllOffersAccepted =
            std::all_of(m_proposals.begin(), m_proposals.end(),
                        [](const auto &it) { return it.awaited.empty(); });
    if (areAllOffersAccepted)
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
        notifyMembers(it.change, table.slots[it.change.slot], effects);
        table.slots[it.change.slot] = it.change.proposed;
    }
    adoptTable(table, now, effects);
    notifyPeers(effects);
    finish(now, Duration(0));
}

template <typename Guards>
auto PlacementKeeper<Guards>::notifyPeers(KeeperEffects &effects) -> void
{
    for (const auto &it : m_peers)
        send(0, it, TableNotice{m_table}, effects);
}

template <typename Guards>
auto PlacementKeeper<Guards>::notifyMembers(const PlacementChange &change,
                                            const SlotPlacement &former, KeeperEffects &effects)
        -> void
{
    const auto notified = std::set<Replica>{former.primary, former.witness, change.proposed.primary,
                                            change.proposed.witness};
    for (const auto &it : notified) {
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
    const auto maxDelay = m_settings.storeBackoff * (1U << (m_failures - 1));
    // The delay is random between half and the whole of the maximum, so that the nodes of a domain don't retry at the
    // same time.
    const auto half = std::uint64_t(maxDelay.count()) / 2;
    m_shouldRefresh = true;
    finish(now, Duration(half + randomBelow(m_random, half + 1)));
}

} // namespace stairspur::keyed
