#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Level.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/retry/RetryLedger.h>

namespace stairspur::node {

/// What a deeper call inherits from the call that makes it, and may lower but never raise.
struct RunningCall
{
    std::string className;
    Level level;
    RootId root;
    TimePoint deadline;
    std::string caller;
    PathKey path = NoPath;
    std::uint32_t callsPerRoot = 1; ///< See CallRequest, as the next one.
    std::uint32_t callsLeft = 1;
};

/// What a deeper call gets of its parent's retry budget.
struct ChildShare
{
    Reason refusal = Reason::None; ///< ParentUnknown or RetryBudgetSpent: the call may not start.
    std::uint32_t budget = 0;
    bool isRepeat = false;
    std::uint32_t ordinal =
            1; ///< Of the deeper call among those of its path that the parent made, from 1 on.
};

/// What remains of a call that ended.
struct ClosedCall
{
    std::uint32_t unspentBudget = 0;
    bool hadUnansweredDeeperCall = false; ///< A deeper call had no answer, or still ran.
};

/// The calls that run at this host's backend server. The gate writes it; the entry asks it when a backend server makes a
/// deeper call. The one piece of state that both traffic threads share, so it has a lock.
class RunningCalls
{
public:
    using CancelChild = std::function<void()>;

    /// A call was dispatched; `budget` extra attempts are left for everything below it.
    auto open(CallId id, RunningCall call, std::uint32_t budget, bool isRepeat) -> void;

    /// The running call, or nothing when it has ended or never ran here.
    [[nodiscard]] auto find(CallId id) const -> std::optional<RunningCall>;

    /// A deeper call of `parent` starts and gets its share of the budget, unless the parent has ended meanwhile.
    /// `cancel` is run, from the gate's thread, when the parent ends first.
    auto addChild(CallId parent, CallId child, PathKey path, CancelChild cancel) -> ChildShare;

    /// The deeper call ended with `unspent` of its share left. `isAnswered`: with a whole answer.
    auto removeChild(CallId parent, CallId child, std::uint32_t unspent, bool isAnswered) -> void;

    /// The call ended. Cancels its deeper calls, since nobody waits for them.
    auto close(CallId id) -> ClosedCall;

private:
    struct Record
    {
        RunningCall call;
        std::unordered_map<CallId, CancelChild> children;
        std::unordered_map<PathKey, std::uint32_t> callsMade; ///< Deeper calls so far, by path.
        bool hasFailedChild = false;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<CallId, Record> m_records;
    retry::RetryLedger m_ledger;
};

} // namespace stairspur::node
