#include <stairspur/retry/RetryPolicy.h>

namespace stairspur::retry {

/// Whether every upstream would answer the same, so that another one need not be asked.
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
    // The call below was sent again as often as it may be. To run this one anew would make all of its calls anew: retries
    // that multiply from level to level are what keeps an overload going.
    case Reason::DeeperCallFailed:
    // Every gate of the service refuses it, and one that has not heard of it yet would lose its backend server.
    case Reason::Quarantined:
        return true;
    default:
        return false;
    }
}

/// Whether a second run can do no harm: the call may run twice, or it is proven that it has not run.
static auto mayRunAgain(const AttemptEnd &end) -> bool
{
    return end.isIdempotent || end.outcome == Outcome::NotRun;
}

auto decideRetry(const AttemptEnd &end) -> RetryDecision
{
    if (end.outcome == Outcome::Answered || isFinal(end.reason))
        return RetryDecision::GiveUp;
    if (end.remaining <= Duration::zero() || end.remaining < end.expectedLatency)
        return RetryDecision::GiveUp;
    if (end.outcome == Outcome::NotRun && !end.wasDispatched && !end.didArrive)
        return RetryDecision::Elsewhere;
    if (!mayRunAgain(end) || end.budget == 0 || !end.hasServiceToken)
        return RetryDecision::GiveUp;
    return RetryDecision::Retry;
}

} // namespace stairspur::retry
