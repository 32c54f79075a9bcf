#pragma once

// Member functions of PrimarySlot that resend messages and continue work across epochs.

#include <cassert>
#include <utility>

#include <stairspur/keyed/PrimarySlot.h>

namespace stairspur::keyed {

template <typename Guards>
auto PrimarySlot<Guards>::reportLate(const std::string &key, UpdateId bind,
                                     const RecordedAnswer &answer, Instant now, Effects &effects)
        -> void
{
    if (answer.outcome == Outcome::Unknown)
        return; // The current primary already answers `unknown` for the key.
    auto outcome = LateOutcome{key, bind, answer};
    if (!m_state.placement.primary.isNone() && m_state.placement.primary != m_state.own)
        effects.sends.push_back({m_state.placement.primary, outcome});
    m_late.insert_or_assign(key, LateReport{std::move(outcome), now.steady});
}

template <typename Guards>
auto PrimarySlot<Guards>::didReceiveLateOutcome(const Replica &from, const LateOutcome &late,
                                                Instant now, Effects &effects) -> void
{
    if (!m_state.isPrimary() || !m_state.hasRecords)
        return;
    if (from != m_state.own)
        effects.sends.push_back({from, LateAccept{late.key, late.bind}});
    const auto *current = m_state.records.find(late.key);
    const auto isOpen =
            current && current->bind == late.bind && !m_pending.contains(late.key)
            && (current->state == KeyState::Bound || current->state == KeyState::Unknown);
    if (!isOpen)
        return;
    auto record = *current;
    const auto didNotRun = late.answer.outcome == Outcome::NotRun;
    record.state = didNotRun ? KeyState::NotRun : KeyState::Settled;
    record.update = m_state.nextUpdate();
    record.recordedAt = now.wall;
    record.answer = didNotRun ? RecordedAnswer() : late.answer;
    record.ticket += didNotRun ? 1 : 0;
    m_state.records.put(record);
    m_unacknowledged.insert_or_assign(late.key, now.steady);
    sendUpdate(record, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::didReceiveLateAccept(const LateAccept &accept) -> void
{
    const auto it = m_late.find(accept.key);
    if (it != m_late.end() && it->second.outcome.bind == accept.bind)
        m_late.erase(it);
}

template <typename Guards>
auto PrimarySlot<Guards>::tick(Instant now, Effects &effects) -> void
{
    const auto &settings = m_state.settings;
    const auto isDue = [&](TimePoint lastSent) {
        return now.steady - lastSent >= settings.resendInterval;
    };
    for (auto &[key, pending] : m_pending) {
        if (pending.stage == PendingStage::Running)
            continue;
        if (now.steady - pending.waitingSince >= settings.ackTimeout) {
            for (const auto &waiter : pending.waiters)
                refuse(waiter, Outcome::Unknown, Reason::WitnessUnreachable, 0, effects);
            pending.waiters.clear();
        }
        if (m_state.isSealed || !isDue(pending.lastSent))
            continue;
        pending.lastSent = now.steady;
        if (const auto *record = m_state.records.find(key))
            sendUpdate(*record, effects);
    }
    std::erase_if(m_pending, [&](const auto &entry) {
        const auto isDropped = m_state.records.find(entry.first) == nullptr;
        return isDropped && entry.second.stage != PendingStage::Running;
    });
    resendOutcomes(now, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::resendOutcomes(Instant now, Effects &effects) -> void
{
    const auto interval = m_state.settings.resendInterval;
    for (auto it = m_unacknowledged.begin(); it != m_unacknowledged.end();) {
        const auto *record = m_state.records.find(it->first);
        if (!record) { // The record has expired meanwhile.
            it = m_unacknowledged.erase(it);
            continue;
        }
        if (!m_state.isSealed && now.steady - it->second >= interval) {
            it->second = now.steady;
            sendUpdate(*record, effects);
        }
        ++it;
    }
    for (auto &[key, report] : m_late) {
        if (m_state.placement.primary == m_state.own || now.steady - report.lastSent < interval)
            continue;
        report.lastSent = now.steady;
        effects.sends.push_back({m_state.placement.primary, report.outcome});
    }
}

template <typename Guards>
auto PrimarySlot<Guards>::resume(Instant now, Effects &effects) -> void
{
    assert(m_state.isPrimary());
    const auto renew = [&](const std::string &key, bool isNewBinding) -> UpdateId {
        const auto *current = m_state.records.find(key);
        if (!current)
            return {};
        auto record = *current;
        record.update = m_state.nextUpdate();
        if (isNewBinding) {
            record.state = KeyState::Bound;
            record.bind = record.update;
        }
        m_state.records.put(record);
        sendUpdate(record, effects);
        return record.update;
    };
    for (auto &[key, pending] : m_pending) {
        if (pending.stage == PendingStage::Running)
            continue;
        const auto isNewBinding = pending.stage == PendingStage::AwaitingAck;
        pending.update = renew(key, isNewBinding);
        if (isNewBinding)
            pending.bind = pending.update;
        pending.lastSent = now.steady;
    }
    for (auto &[key, lastSent] : m_unacknowledged) {
        renew(key, false);
        lastSent = now.steady;
    }
    const auto late = std::exchange(m_late, {});
    for (const auto &[key, report] : late)
        didReceiveLateOutcome(m_state.own, report.outcome, now, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::retire(Instant now, Effects &effects) -> void
{
    std::erase_if(m_pending, [&](const auto &entry) {
        if (entry.second.stage == PendingStage::Running)
            return false;
        for (const auto &waiter : entry.second.waiters)
            replyMoved(waiter, effects);
        return true;
    });
    for (const auto &[key, lastSent] : m_unacknowledged) {
        const auto *record = m_state.records.find(key);
        if (record && record->state == KeyState::Settled)
            reportLate(key, record->bind, record->answer, now, effects);
    }
    m_unacknowledged.clear();
}

} // namespace stairspur::keyed
