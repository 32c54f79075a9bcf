#include <stairspur/retry/RetryPolicy.h>

namespace stairspur::retry {

/// Returns whether every upstream would give the same answer, so that trying another one is useless.
static auto isFinal(Reason reason) -> bool
{
    switch (reason) {
    case Reason::BadRequest:
    case Reason::Unauthorized:
    case Reason::ClassNotAllowed:
    case Reason::UnknownService:
    case Reason::UnknownClass:
    case Reason::DeadlineExceeded:
    case Reason::Cancelled:
    case Reason::ParentUnknown:
    case Reason::RetryBudgetSpent:
    case Reason::KeyUnknown:
    case Reason::KeyInProgress:
    case Reason::TooLarge:
    // The deeper call has already been retried as often as allowed. Running this call again would repeat all of its deeper
    // calls, and retries that multiply from level to level keep an overload going.
    case Reason::DeeperCallFailed:
    // Every gate of the service refuses the request. At a gate that has not received the quarantine yet, the request would
    // crash the backend server.
    case Reason::Quarantined:
        return true;
    default:
        return false;
    }
}

/// Returns whether the call may run again: it is idempotent, or it has provably not run.
static auto mayRunAgain(const EndedAttempt &end) -> bool
{
    return end.isIdempotent || end.outcome == Outcome::NotRun;
}

auto decideRetry(const EndedAttempt &end) -> RetryDecision
{
    if (end.outcome == Outcome::Answered || isFinal(end.reason))
        return RetryDecision::GiveUp;
    if (end.remaining <= Duration::zero() || end.remaining < end.expectedLatency)
        return RetryDecision::GiveUp;
    if (end.outcome == Outcome::NotRun && !end.wasDispatched && !end.wasRefusedByBackend)
        return RetryDecision::Elsewhere;
    if (!mayRunAgain(end) || end.budget == 0 || !end.hasServiceToken)
        return RetryDecision::GiveUp;
    return RetryDecision::Retry;
}

} // namespace stairspur::retry
