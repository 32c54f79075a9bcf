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

/// The attributes of a running call. A deeper call inherits them; it may lower but not raise them.
struct RunningCall
{
    std::string className;
    Level level;
    RootId root;
    TimePoint deadline;
    std::string caller;
    PathKey path = NoPath;
    std::uint32_t callsPerRoot = 1; ///< See CallRequest.
    std::uint32_t callsLeft = 1;    ///< See CallRequest.
};

/// A deeper call's share of its parent's retry budget.
struct ChildShare
{
    Reason refusal = Reason::None; ///< ParentUnknown or RetryBudgetSpent if the call may not start.
    std::uint32_t budget = 0;
    bool isRepeat = false;
    std::uint32_t ordinal =
            1; ///< Number of the deeper call among those of its path that the parent made, from 1.
};

/// The remainder of an ended call.
struct ClosedCall
{
    std::uint32_t unspentBudget = 0;
    bool hadUnansweredDeeperCall = false; ///< A deeper call had no complete response, or still ran.
};

/// The calls that run at this host's backend server. The gate writes them; the entry reads them when the backend server makes
/// a deeper call. It has a lock, because both traffic threads use it.
class RunningCalls
{
public:
    using CancelChild = std::function<void()>;

    /// Records that a call was dispatched. `budget` is the number of extra attempts for all deeper calls below it.
    auto open(CallId id, RunningCall call, std::uint32_t budget, bool isRepeat) -> void;

    /// Returns the running call, or nothing if it does not run here.
    [[nodiscard]] auto find(CallId id) const -> std::optional<RunningCall>;

    /// Records the start of a deeper call of `parent` and returns its share of the budget. Refuses it if the parent has ended.
    /// `cancel` is called on the gate's thread if the parent ends first.
    auto addChild(CallId parent, CallId child, PathKey path, CancelChild cancel) -> ChildShare;

    /// Records the end of the deeper call with `unspent` of its share left. `isAnswered` means with a complete response.
    auto removeChild(CallId parent, CallId child, std::uint32_t unspent, bool isAnswered) -> void;

    /// Records the end of the call. Cancels its deeper calls, since nobody waits for their results.
    auto close(CallId id) -> ClosedCall;

private:
    struct Record
    {
        RunningCall call;
        std::unordered_map<CallId, CancelChild> children;
        std::unordered_map<PathKey, std::uint32_t>
                callsMade; ///< Number of deeper calls made, by path.
        bool hasUnansweredChild = false;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<CallId, Record> m_records;
    retry::RetryLedger m_ledger;
};

} // namespace stairspur::node
