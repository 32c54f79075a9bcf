#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <stairspur/keyed/Effects.h>
#include <stairspur/keyed/Guards.h>
#include <stairspur/keyed/SlotState.h>

namespace stairspur::keyed {

/// Progress of a key that this node is processing.
enum class PendingStage {
    AwaitingAck, ///< The witness hasn't acknowledged the binding, and nothing has been dispatched.
    Running,     ///< The call has been dispatched.
    AwaitingNotRunAck, ///< The call did not run, and the witness hasn't acknowledged that yet.
};

/// A key that this node is processing. A running call outlives the epoch in which it was dispatched, so that its
/// outcome is not lost.
struct PendingKey
{
    PendingStage stage = PendingStage::AwaitingAck;
    UpdateId bind;
    UpdateId update; ///< The update whose acknowledgement is awaited.
    std::uint64_t fingerprint = 0;
    std::uint64_t ticket = 0; ///< Ticket of the record at the time of the binding.
    Reason notRunReason = Reason::None;
    std::vector<Waiter> waiters;
    TimePoint lastSent;     ///< Time of the last update to the witness.
    TimePoint waitingSince; ///< Time since which the waiters wait for the witness.
};

/// The result of a dispatched call.
struct DispatchResult
{
    bool didNotRun =
            false; ///< Whether it is proven that the call reached no backend server and never will.
    /// The answer, with the outcome Answered, Failed or Unknown. With didNotRun only its reason is used.
    RecordedAnswer answer;
};

/// The primary's part of a slot. It binds each key at the witness, dispatches its call once, records the answer and
/// replays it. The guards are a template parameter so that tests can disable each of them.
template <typename Guards = StandardGuards>
class PrimarySlot
{
public:
    explicit PrimarySlot(SlotState &state)
        : m_state(state)
    {}

    /// Handles a call or a query of an entry.
    auto submit(const Waiter &waiter, const Submit &submit, Instant now, Effects &effects) -> void;

    /// Removes `waiter`. A binding without waiters is not dispatched but recorded as `not-run`.
    auto cancel(const Waiter &waiter) -> void;

    /// Records the result of the call that was dispatched for `bind`.
    auto didEnd(const std::string &key, UpdateId bind, const DispatchResult &result, Instant now,
                Effects &effects) -> void;

    /// Handles the acknowledgement of an update by the witness.
    auto didReceiveAck(const Replica &from, const RecordAck &ack, Instant now, Effects &effects)
            -> void;

    /// Records the outcome of the call `bind`, which a former primary dispatched.
    auto didReceiveLateOutcome(const Replica &from, const LateOutcome &late, Instant now,
                               Effects &effects) -> void;
    /// Removes the late outcome that the current primary has received.
    auto didReceiveLateAccept(const LateAccept &accept) -> void;

    /// Resends unacknowledged messages and answers waiters when the witness has not answered in time.
    auto tick(Instant now, Effects &effects) -> void;

    /// Continues the unfinished work with the new witness after an epoch began with this node as primary.
    auto resume(Instant now, Effects &effects) -> void;
    /// Ends the work of this primary after an epoch began with another one. Undispatched keys are dropped, and the
    /// outcomes of running calls are reported to the new primary.
    auto retire(Instant now, Effects &effects) -> void;

    /// Returns whether the key is bound here and is certain not to have been dispatched.
    [[nodiscard]] auto isUndispatched(const std::string &key) const -> bool;
    /// Returns the number of calls that were dispatched here and have not ended.
    [[nodiscard]] auto running() const -> std::size_t;
    /// Returns the number of outcomes that the current primary has not accepted yet.
    [[nodiscard]] auto unreported() const -> std::size_t { return m_late.size(); }

private:
    /// An outcome that is sent to the current primary until it accepts it.
    struct LateReport
    {
        LateOutcome outcome;
        TimePoint lastSent;
    };

    auto submitPending(PendingKey &pending, const Waiter &waiter, const Submit &submit, Instant now,
                       Effects &effects) -> void;
    auto submitRecorded(const KeyRecord &record, const Waiter &waiter, const Submit &submit,
                        Instant now, Effects &effects) -> void;
    auto submitNew(const Waiter &waiter, const Submit &submit, Instant now, Effects &effects)
            -> void;
    auto bind(const Waiter &waiter, const Submit &submit, std::uint64_t ticket, Instant now,
              Effects &effects) -> void;
    auto dispatch(const std::string &key, PendingKey &pending, Effects &effects) -> void;
    /// Reports `not-run` for a dispatched call that is proven not to have run.
    auto reportNotRun(const std::string &key, const PendingKey &pending, Reason reason, Instant now,
                      Effects &effects) -> void;
    /// Stores and returns the record of a key that did not run.
    auto recordNotRun(const std::string &key, const PendingKey &pending, Instant now) -> KeyRecord;
    /// Reports `not-run` for a key that was not dispatched here, after the witness has acknowledged that.
    auto reportNotRunAfterAck(const std::string &key, PendingKey &pending, Reason reason,
                              Instant now, Effects &effects) -> void;
    auto settle(const std::string &key, const PendingKey &pending, const RecordedAnswer &answer,
                Instant now, Effects &effects) -> void;
    auto reportLate(const std::string &key, UpdateId bind, const RecordedAnswer &answer,
                    Instant now, Effects &effects) -> void;
    auto sendUpdate(const KeyRecord &record, Effects &effects) -> void;
    auto resendOutcomes(Instant now, Effects &effects) -> void;
    auto answer(const Waiter &waiter, const RecordedAnswer &answer, bool isReplay, Effects &effects)
            -> void;
    auto refuse(const Waiter &waiter, Outcome outcome, Reason reason, std::uint32_t status,
                Effects &effects) -> void;
    auto challenge(const Waiter &waiter, std::uint64_t ticket, Effects &effects) -> void;
    auto replyMoved(const Waiter &waiter, Effects &effects) -> void;

    SlotState &m_state;
    std::map<std::string, PendingKey> m_pending;
    /// Keys whose outcome the witness has not acknowledged yet, with the time of the last update.
    std::map<std::string, TimePoint> m_unacknowledged;
    std::map<std::string, LateReport> m_late; ///< Reports to the current primary, by key.
};

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::PendingStage> =
        std::array<std::string_view, 3>{"awaiting-ack", "running", "awaiting-not-run-ack"};
