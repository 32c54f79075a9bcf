#include <criterion/criterion.h>

#include <stairspur/retry/RetryPolicy.h>

using namespace stairspur;
using namespace stairspur::retry;

static constexpr auto Second = Duration{1'000'000};

using enum Outcome;
using enum Reason;
using enum RetryDecision;

struct PolicyCase
{
    const char *name;
    /// Outcome, reason, wasDispatched, isIdempotent, budget, hasServiceToken, remaining, expectedLatency.
    EndedAttempt end;
    RetryDecision decision;
};

static const PolicyCase cases[] = {
        {"answered", {Answered, None, true, true, 3, true, Second}, GiveUp},
        {"refused before dispatch", {NotRun, QueueFull, false, false, 0, false, Second}, Elsewhere},
        {"no link", {NotRun, LinkLost, false, false, 0, false, Second}, Elsewhere},
        {"shed by the backend server", {NotRun, BackendShed, true, false, 1, true, Second}, Retry},
        {"shed, no budget", {NotRun, BackendShed, true, false, 0, true, Second}, GiveUp},
        {"shed, no token", {NotRun, BackendShed, true, false, 1, false, Second}, GiveUp},
        {"lost, idempotent", {Unknown, LinkLost, true, true, 1, true, Second}, Retry},
        {"lost, not idempotent", {Unknown, LinkLost, true, false, 9, true, Second}, GiveUp},
        {"unknown, not idempotent, reported as not dispatched",
         {Unknown, LinkLost, false, false, 9, true, Second},
         GiveUp},
        {"failed, not idempotent", {Failed, BackendFailed, true, false, 9, true, Second}, GiveUp},
        {"failed, idempotent", {Failed, BackendFailed, true, true, 1, true, Second}, Retry},
        {"failed, idempotent, no budget",
         {Failed, BackendFailed, true, true, 0, true, Second},
         GiveUp},
        {"no time left", {NotRun, QueueFull, false, true, 3, true, Duration{0}}, GiveUp},
        {"too little time left", {Failed, None, true, true, 3, true, Second, Second * 2}, GiveUp},
        {"just enough time left", {Failed, None, true, true, 3, true, Second, Second}, Retry},
        {"same answer from every upstream: bad request",
         {NotRun, BadRequest, false, true, 3, true, Second},
         GiveUp},
        {"same answer from every upstream: cancelled",
         {NotRun, Cancelled, false, true, 3, true, Second},
         GiveUp},
        {"same answer from every upstream: key in progress",
         {NotRun, KeyInProgress, false, true, 3, true, Second},
         GiveUp},
        {"newly started node without configuration",
         {NotRun, NoConfiguration, false, true, 0, false, Second},
         Elsewhere},
        {"draining", {NotRun, Draining, false, false, 0, false, Second}, Elsewhere},
};

Test(RetryPolicy, decidesAsTheTableStates)
{
    for (const auto &it : cases)
        cr_assert_eq(decideRetry(it.end), it.decision, "%s", it.name);
}

Test(RetryPolicy, nonIdempotentCallsAreSentAgainOnlyAfterNotRun)
{
    for (const auto outcome :
         {Outcome::Answered, Outcome::NotRun, Outcome::Failed, Outcome::Unknown}) {
        for (std::size_t reason = 0; reason < enumNames<Reason>.size(); ++reason) {
            for (const auto wasDispatched : {false, true}) {
                const auto decision =
                        decideRetry({outcome, static_cast<Reason>(reason), wasDispatched, false, 9,
                                     true, Second, Duration{0}});
                cr_assert(outcome == Outcome::NotRun || decision == RetryDecision::GiveUp);
                cr_assert(!wasDispatched || decision != RetryDecision::Elsewhere);
            }
        }
    }
}
