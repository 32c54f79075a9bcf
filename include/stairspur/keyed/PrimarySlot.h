#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <stairspur/keyed/Effects.h>
#include <stairspur/keyed/Guards.h>
#include <stairspur/keyed/SlotState.h>

namespace stairspur::keyed {

/// How far a key is that this node works on.
enum class PendingStage {
    AwaitingAck, ///< The witness hasn't acknowledged the binding: nothing has been dispatched.
    Running,     ///< Dispatched.
    AwaitingNotRunAck, ///< It did not run; the witness hasn't acknowledged that yet.
};

/// A key that this node works on. Outlives the epoch it began in: a call that runs is ended whole.
struct PendingKey
{
    PendingStage stage = PendingStage::AwaitingAck;
    UpdateId bind;
    UpdateId update; ///< Whose acknowledgement is awaited.
    std::uint64_t fingerprint = 0;
    std::uint64_t ticket = 0; ///< Of the record when it was bound.
    Reason notRunReason = Reason::None;
    std::vector<Waiter> waiters;
    TimePoint lastSent;
    TimePoint waitingSince;
};

/// How a dispatched call ended.
struct DispatchEnd
{
    bool didNotRun = false; ///< Proven: it reached no backend server, nor can it.
    /// Otherwise: Answered, Failed or Unknown. With didNotRun only the reason counts.
    RecordedAnswer answer;
};

/// The primary's part of a slot: binds each key with the witness, has it dispatched once, records and replays how it
/// ended. Given a guard policy so that tests can show what each guard is for.
template <typename Guards = StandardGuards>
class PrimarySlot
{
public:
    explicit PrimarySlot(SlotState &state)
        : m_state(state)
    {}

    /// An entry's call or query.
    auto submit(const Waiter &waiter, const Submit &submit, Instant now, Effects &effects) -> void;

    /// Nobody waits under `waiter` any more. A binding that has not been dispatched is then given up.
    auto cancel(const Waiter &waiter) -> void;

    /// The call dispatched for `bind` has ended.
    auto didEnd(const std::string &key, UpdateId bind, const DispatchEnd &end, Instant now,
                Effects &effects) -> void;

    auto didReceiveAck(const Replica &from, const RecordAck &ack, Instant now, Effects &effects)
            -> void;

    /// The call `bind` ended under its former primary.
    auto didReceiveLateOutcome(const Replica &from, const LateOutcome &late, Instant now,
                               Effects &effects) -> void;
    auto didReceiveLateAccept(const LateAccept &accept) -> void;

    /// Sends again what is unacknowledged; answers waiters whose witness stays silent.
    auto tick(Instant now, Effects &effects) -> void;

    /// A new epoch with this node as primary: its unfinished work goes on with the new witness.
    auto resume(Instant now, Effects &effects) -> void;
    /// A new epoch with another primary: what was not dispatched never will be, what runs will be reported.
    auto retire(Instant now, Effects &effects) -> void;

    /// Whether the key is bound here, and certain not to have been dispatched.
    [[nodiscard]] auto isUndispatched(const std::string &key) const -> bool;
    /// Calls dispatched from here that have not ended.
    [[nodiscard]] auto running() const -> std::size_t;
    /// Outcomes that the present primary has not accepted yet.
    [[nodiscard]] auto unreported() const -> std::size_t { return m_late.size(); }

private:
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
    /// The dispatched call is proven not to have run.
    auto release(const std::string &key, const PendingKey &pending, Reason reason, Instant now,
                 Effects &effects) -> void;
    auto recordNotRun(const std::string &key, const PendingKey &pending, Instant now) -> KeyRecord;
    /// Says `not-run` of a key that was not dispatched here, once the witness has acknowledged that.
    auto stateNotRun(const std::string &key, PendingKey &pending, Reason reason, Instant now,
                     Effects &effects) -> void;
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
    auto sayMoved(const Waiter &waiter, Effects &effects) -> void;

    SlotState &m_state;
    std::map<std::string, PendingKey> m_pending;
    /// Outcomes that the witness has not acknowledged yet, by key.
    std::map<std::string, TimePoint> m_unacknowledged;
    std::map<std::string, LateReport> m_late;
};

} // namespace stairspur::keyed

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::PendingStage> =
        std::array<std::string_view, 3>{"awaiting-ack", "running", "awaiting-not-run-ack"};
