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
    // The deeper call has already been retried as often as allowed. Running this call again would repeat all of its
    // deeper calls, and retries that multiply from level to level keep an overload going.
    case Reason::DeeperCallFailed:
    // Every gate of the service refuses the request. At a gate that has not received the quarantine yet, the request
    // would crash the backend server.
    case Reason::Quarantined:
        return true;
    default:
        return false;
    }
}

/// Returns whether the call may run again: it is idempotent, or it has provably not run.
static auto mayRunAgain(const EndedAttempt &attempt) -> bool
{
    return attempt.isIdempotent || attempt.outcome == Outcome::NotRun;
}

auto decideRetry(const EndedAttempt &attempt) -> RetryDecision
{
    if (attempt.outcome == Outcome::Answered || isFinal(attempt.reason))
        return RetryDecision::GiveUp;
    if (attempt.remaining <= Duration::zero() || attempt.remaining < attempt.expectedLatency)
        return RetryDecision::GiveUp;
    if (attempt.outcome == Outcome::NotRun && !attempt.wasDispatched
        && !attempt.wasRefusedByBackend)
        return RetryDecision::Elsewhere;
    if (!mayRunAgain(attempt) || attempt.budget == 0 || !attempt.hasServiceToken)
        return RetryDecision::GiveUp;
    return RetryDecision::Retry;
}

} // namespace stairspur::retry
