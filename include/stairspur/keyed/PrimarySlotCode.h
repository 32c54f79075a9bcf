#pragma once

// Member functions of PrimarySlot, to be included where it is instantiated with other guards.

#include <algorithm>
#include <cassert>
#include <utility>

#include <stairspur/keyed/PrimarySlot.h>
#include <stairspur/keyed/PrimarySlotEpochs.h>

namespace stairspur::keyed {

inline constexpr auto UnprocessableContent = std::uint32_t{422}; // RFC 9110, section 15.5.21

template <typename Guards>
auto PrimarySlot<Guards>::submit(const Waiter &waiter, const Submit &submit, Instant now,
                                 Effects &effects) -> void
{
    if (!m_state.isPrimary() || !m_state.hasRecords)
        return replyMoved(waiter, effects);
    const auto it = m_pending.find(submit.key);
    if (it != m_pending.end())
        return submitPending(it->second, waiter, submit, now, effects);
    if (const auto *record = m_state.records.find(submit.key))
        return submitRecorded(*record, waiter, submit, now, effects);
    submitNew(waiter, submit, now, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::submitPending(PendingKey &pending, const Waiter &waiter,
                                        const Submit &submit, Instant now, Effects &effects) -> void
{
    if (Guards::FingerprintIsChecked && pending.fingerprint != submit.fingerprint) {
        // Only a record that the witness has stored too proves that the different request can't run with this key.
        if (pending.stage == PendingStage::Running)
            return refuse(waiter, Outcome::NotRun, Reason::BadRequest, UnprocessableContent,
                          effects);
        return refuse(waiter, Outcome::Unknown, Reason::KeyInProgress, 0, effects);
    }
    // A key must not be dispatched for an attempt that has received `not-run` already.
    const auto isStale =
            pending.stage == PendingStage::AwaitingAck && submit.ticket != pending.ticket;
    if (Guards::StaleSubmitsAreChallenged && isStale)
        return challenge(waiter, pending.ticket, effects);
    if (pending.waiters.empty())
        pending.waitingSince = now.steady;
    pending.waiters.push_back(waiter);
}

template <typename Guards>
auto PrimarySlot<Guards>::submitRecorded(const KeyRecord &record, const Waiter &waiter,
                                         const Submit &submit, Instant now, Effects &effects)
        -> void
{
    if (Guards::FingerprintIsChecked && record.fingerprint != submit.fingerprint)
        return refuse(waiter, Outcome::NotRun, Reason::BadRequest, UnprocessableContent, effects);
    if (record.state == KeyState::Settled)
        return answer(waiter, record.answer, true, effects);
    const auto mayHaveRun = record.state == KeyState::Unknown
                            || (record.state == KeyState::Bound && Guards::TakeoverSettlesOpenKeys);
    if (mayHaveRun)
        return refuse(waiter, Outcome::Unknown, Reason::KeyUnknown, 0, effects);
    if (m_state.isSealed)
        return replyMoved(waiter, effects);
    if (Guards::StaleSubmitsAreChallenged && submit.ticket != record.ticket)
        return challenge(waiter, record.ticket, effects);
    bind(waiter, submit, record.ticket, now, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::submitNew(const Waiter &waiter, const Submit &submit, Instant now,
                                    Effects &effects) -> void
{
    const auto &records = m_state.records;
    if (records.mayHaveRun(submit.key, submit.isHomeExplicit, now.wall))
        return refuse(waiter, Outcome::Unknown, Reason::KeyUnknown, 0, effects);
    if (m_state.isSealed)
        return replyMoved(waiter, effects);
    if (records.isFull())
        return refuse(waiter, Outcome::Unknown, Reason::QueueFull, 0, effects);
    bind(waiter, submit, 0, now, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::bind(const Waiter &waiter, const Submit &submit, std::uint64_t ticket,
                               Instant now, Effects &effects) -> void
{
    auto record = KeyRecord{submit.key, submit.fingerprint};
    record.bind = m_state.nextUpdate();
    record.update = record.bind;
    record.ticket = ticket;
    record.recordedAt = now.wall;

    auto pending = PendingKey();
    pending.bind = record.bind;
    pending.update = record.update;
    pending.fingerprint = submit.fingerprint;
    pending.ticket = ticket;
    pending.waiters.push_back(waiter);
    pending.lastSent = now.steady;
    pending.waitingSince = now.steady;
    auto &inserted = m_pending.insert_or_assign(submit.key, std::move(pending)).first->second;

    const auto isMintedInFuture = m_state.records.isMintedInFuture(submit.key, now.wall);
    m_state.records.put(record);
    if (submit.isQuery || isMintedInFuture) {
        const auto reason = isMintedInFuture ? Reason::BadRequest : Reason::None;
        return reportNotRunAfterAck(submit.key, inserted, reason, now, effects);
    }
    sendUpdate(record, effects);
    if (!Guards::DispatchNeedsAck)
        dispatch(submit.key, inserted, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::dispatch(const std::string &key, PendingKey &pending, Effects &effects)
        -> void
{
    pending.stage = PendingStage::Running;
    effects.dispatches.push_back({key, pending.bind, pending.waiters});
}

template <typename Guards>
auto PrimarySlot<Guards>::cancel(const Waiter &waiter) -> void
{
    for (auto &[key, pending] : m_pending)
        std::erase(pending.waiters, waiter);
}

template <typename Guards>
auto PrimarySlot<Guards>::didReceiveAck(const Replica &from, const RecordAck &ack, Instant now,
                                        Effects &effects) -> void
{
    const auto isCurrent = m_state.isPrimary() && !m_state.isSealed
                           && from == m_state.placement.witness
                           && ack.update.epoch == m_state.placement.epoch;
    if (!isCurrent && Guards::AckMatchesUpdate)
        return;
    const auto *record = m_state.records.find(ack.key);
    if (record && record->update == ack.update)
        m_unacknowledged.erase(ack.key);

    const auto it = m_pending.find(ack.key);
    if (it == m_pending.end())
        return;
    auto &pending = it->second;
    if (Guards::AckMatchesUpdate && pending.update != ack.update)
        return;
    if (pending.stage == PendingStage::AwaitingAck) {
        if (pending.waiters.empty())
            return reportNotRunAfterAck(ack.key, pending, Reason::Cancelled, now, effects);
        return dispatch(ack.key, pending, effects);
    }
    if (pending.stage == PendingStage::AwaitingNotRunAck) {
        for (const auto &waiter : pending.waiters)
            refuse(waiter, Outcome::NotRun, pending.notRunReason, 0, effects);
        m_pending.erase(it);
    }
}

template <typename Guards>
auto PrimarySlot<Guards>::didEnd(const std::string &key, UpdateId bind,
                                 const DispatchResult &result, Instant now, Effects &effects)
        -> void
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end() || it->second.bind != bind
        || it->second.stage != PendingStage::Running)
        return;
    auto pending = std::move(it->second);
    m_pending.erase(it);
    if (result.didNotRun)
        return reportNotRun(key, pending, result.answer.reason, now, effects);
    settle(key, pending, result.answer, now, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::reportNotRun(const std::string &key, const PendingKey &pending,
                                       Reason reason, Instant now, Effects &effects) -> void
{
    // The witness has acknowledged the binding, so a primary that takes over treats the key as one that may have run
    // and won't run it. `not-run` is therefore true without another acknowledgement.
    for (const auto &waiter : pending.waiters)
        refuse(waiter, Outcome::NotRun, reason, 0, effects);
    if (!m_state.isPrimary() || !m_state.hasRecords) {
        const auto answer = RecordedAnswer{Outcome::NotRun, reason};
        return reportLate(key, pending.bind, answer, now, effects);
    }
    const auto record = recordNotRun(key, pending, now);
    m_unacknowledged.insert_or_assign(key, now.steady);
    sendUpdate(record, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::recordNotRun(const std::string &key, const PendingKey &pending,
                                       Instant now) -> KeyRecord
{
    const auto *current = m_state.records.find(key);
    auto record = current ? *current : KeyRecord{key, pending.fingerprint};
    record.state = KeyState::NotRun;
    record.bind = pending.bind;
    record.update = m_state.nextUpdate();
    record.recordedAt = now.wall;
    ++record.ticket;
    m_state.records.put(record);
    return record;
}

template <typename Guards>
auto PrimarySlot<Guards>::reportNotRunAfterAck(const std::string &key, PendingKey &pending,
                                               Reason reason, Instant now, Effects &effects) -> void
{
    const auto record = recordNotRun(key, pending, now);
    pending.stage = PendingStage::AwaitingNotRunAck;
    pending.update = record.update;
    pending.notRunReason = reason;
    pending.lastSent = now.steady;
    pending.waitingSince = now.steady;
    sendUpdate(record, effects);
    if (Guards::NotRunNeedsAck)
        return;
    for (const auto &waiter : pending.waiters)
        refuse(waiter, Outcome::NotRun, reason, 0, effects);
    m_pending.erase(key);
}

template <typename Guards>
auto PrimarySlot<Guards>::settle(const std::string &key, const PendingKey &pending,
                                 const RecordedAnswer &answer, Instant now, Effects &effects)
        -> void
{
    for (const auto &waiter : pending.waiters)
        this->answer(waiter, answer, false, effects);

    auto recorded = answer;
    if (recorded.payload.size() > m_state.settings.records.maxPayloadBytes) {
        recorded.payload.clear();
        recorded.isPayloadKept = false;
    }
    if (!m_state.isPrimary() || !m_state.hasRecords)
        return reportLate(key, pending.bind, recorded, now, effects);

    const auto *current = m_state.records.find(key);
    auto record = current ? *current : KeyRecord{key, pending.fingerprint};
    record.state = recorded.outcome == Outcome::Unknown ? KeyState::Unknown : KeyState::Settled;
    record.bind = pending.bind;
    record.update = m_state.nextUpdate();
    record.recordedAt = now.wall;
    record.answer = std::move(recorded);
    m_state.records.put(record);
    m_unacknowledged.insert_or_assign(key, now.steady);
    sendUpdate(record, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::isUndispatched(const std::string &key) const -> bool
{
    const auto it = m_pending.find(key);
    return it != m_pending.end() && it->second.stage == PendingStage::AwaitingAck;
}

template <typename Guards>
auto PrimarySlot<Guards>::running() const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(m_pending.begin(), m_pending.end(), [](const auto &entry) {
                return entry.second.stage == PendingStage::Running;
            }));
}

template <typename Guards>
auto PrimarySlot<Guards>::sendUpdate(const KeyRecord &record, Effects &effects) -> void
{
    if (!m_state.placement.witness.isNone())
        effects.sends.push_back(
                {m_state.placement.witness, RecordUpdate{m_state.placement.epoch, record}});
}

template <typename Guards>
auto PrimarySlot<Guards>::answer(const Waiter &waiter, const RecordedAnswer &answer, bool isReplay,
                                 Effects &effects) -> void
{
    auto reply = Reply{waiter.number, ReplyKind::Settled, answer, isReplay};
    if (answer.outcome == Outcome::NotRun || answer.outcome == Outcome::Unknown)
        reply.retryAfter = m_state.settings.retryAfter;
    effects.replies.push_back({waiter, std::move(reply)});
}

template <typename Guards>
auto PrimarySlot<Guards>::refuse(const Waiter &waiter, Outcome outcome, Reason reason,
                                 std::uint32_t status, Effects &effects) -> void
{
    answer(waiter, RecordedAnswer{outcome, reason, status, {}, true}, false, effects);
}

template <typename Guards>
auto PrimarySlot<Guards>::challenge(const Waiter &waiter, std::uint64_t ticket, Effects &effects)
        -> void
{
    auto reply = Reply{waiter.number, ReplyKind::Challenge};
    reply.ticket = ticket;
    effects.replies.push_back({waiter, std::move(reply)});
}

template <typename Guards>
auto PrimarySlot<Guards>::replyMoved(const Waiter &waiter, Effects &effects) -> void
{
    auto reply = Reply{waiter.number, ReplyKind::Moved};
    reply.placement = m_state.placement;
    reply.retryAfter = m_state.settings.resendInterval;
    effects.replies.push_back({waiter, std::move(reply)});
}

} // namespace stairspur::keyed
