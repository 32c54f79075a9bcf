#include <criterion/criterion.h>

#include <stairspur/retry/RetryPolicy.h>

using namespace stairspur;
using namespace stairspur::retry;

static constexpr auto Second = Duration{1'000'000};

struct PolicyCase
{
    const char *name;
    AttemptEnd
            end; // outcome, reason, wasDispatched, isIdempotent, budget, hasServiceToken, remaining, expectedLatency
    RetryDecision decision;
};

static const PolicyCase cases[] = {
        {"answered",
         {Outcome::Answered, Reason::None, true, true, 3, true, Second},
         RetryDecision::GiveUp},
        {"refused before dispatch",
         {Outcome::NotRun, Reason::QueueFull, false, false, 0, false, Second},
         RetryDecision::Elsewhere},
        {"no link",
         {Outcome::NotRun, Reason::LinkLost, false, false, 0, false, Second},
         RetryDecision::Elsewhere},
        {"shed by the backend server",
         {Outcome::NotRun, Reason::BackendShed, true, false, 1, true, Second},
         RetryDecision::Retry},
        {"shed, no budget",
         {Outcome::NotRun, Reason::BackendShed, true, false, 0, true, Second},
         RetryDecision::GiveUp},
        {"shed, no token",
         {Outcome::NotRun, Reason::BackendShed, true, false, 1, false, Second},
         RetryDecision::GiveUp},
        {"lost, idempotent",
         {Outcome::Unknown, Reason::LinkLost, true, true, 1, true, Second},
         RetryDecision::Retry},
        {"lost, not idempotent",
         {Outcome::Unknown, Reason::LinkLost, true, false, 9, true, Second},
         RetryDecision::GiveUp},
        {"unknown, not idempotent, said undispatched",
         {Outcome::Unknown, Reason::LinkLost, false, false, 9, true, Second},
         RetryDecision::GiveUp},
        {"failed, not idempotent",
         {Outcome::Failed, Reason::BackendFailed, true, false, 9, true, Second},
         RetryDecision::GiveUp},
        {"failed, idempotent",
         {Outcome::Failed, Reason::BackendFailed, true, true, 1, true, Second},
         RetryDecision::Retry},
        {"failed, idempotent, no budget",
         {Outcome::Failed, Reason::BackendFailed, true, true, 0, true, Second},
         RetryDecision::GiveUp},
        {"no time left",
         {Outcome::NotRun, Reason::QueueFull, false, true, 3, true, Duration{0}},
         RetryDecision::GiveUp},
        {"too little time left",
         {Outcome::Failed, Reason::None, true, true, 3, true, Second, Second * 2},
         RetryDecision::GiveUp},
        {"just enough time left",
         {Outcome::Failed, Reason::None, true, true, 3, true, Second, Second},
         RetryDecision::Retry},
        {"the same everywhere: bad request",
         {Outcome::NotRun, Reason::BadRequest, false, true, 3, true, Second},
         RetryDecision::GiveUp},
        {"the same everywhere: cancelled",
         {Outcome::NotRun, Reason::Cancelled, false, true, 3, true, Second},
         RetryDecision::GiveUp},
        {"the same everywhere: key in progress",
         {Outcome::NotRun, Reason::KeyInProgress, false, true, 3, true, Second},
         RetryDecision::GiveUp},
        {"fresh node without configuration",
         {Outcome::NotRun, Reason::NoConfiguration, false, true, 0, false, Second},
         RetryDecision::Elsewhere},
        {"draining",
         {Outcome::NotRun, Reason::Draining, false, false, 0, false, Second},
         RetryDecision::Elsewhere},
};

Test(RetryPolicy, decidesByTable)
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
