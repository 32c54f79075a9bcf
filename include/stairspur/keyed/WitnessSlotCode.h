#pragma once

// Member functions of WitnessSlot, to be included where it is instantiated with other guards.

#include <stairspur/keyed/WitnessSlot.h>

namespace stairspur::keyed {

template <typename Guards>
auto WitnessSlot<Guards>::mayAcknowledge(const Replica &from, std::uint64_t epoch) const -> bool
{
    if (!Guards::WitnessChecksEpoch)
        return true;
    return m_state.isWitness() && m_state.hasRecords && !m_state.isSealed
           && epoch == m_state.placement.epoch && from == m_state.placement.primary;
}

template <typename Guards>
auto WitnessSlot<Guards>::didReceiveUpdate(const Replica &from, const RecordUpdate &update,
                                           Effects &effects) -> void
{
    if (!mayAcknowledge(from, update.epoch)) {
        effects.sends.push_back({from, RecordRefusal{update.record.update, m_state.placement}});
        return;
    }
    if (Guards::UpdatesAreOrdered)
        m_state.records.apply(update.record);
    else
        m_state.records.put(update.record);
    effects.sends.push_back({from, RecordAck{update.record.update, update.record.key}});
}

template <typename Guards>
auto WitnessSlot<Guards>::lookUp(const Waiter &waiter, const Lookup &lookup, Effects &effects) const
        -> void
{
    auto reply = Reply{waiter.number};
    reply.answer.reason = Reason::KeyUnknown;
    reply.isReplay = true;
    reply.retryAfter = m_state.settings.retryAfter;
    const auto *record = m_state.records.find(lookup.key);
    if (record && record->state == KeyState::Settled && record->fingerprint == lookup.fingerprint)
        reply.answer = record->answer;
    effects.replies.push_back({waiter, std::move(reply)});
}

} // namespace stairspur::keyed
