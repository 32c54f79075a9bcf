#include <criterion/criterion.h>

#include <stairspur/retry/CallBudget.h>
#include <stairspur/retry/RetryLedger.h>

#include "GraphDriver.h"

using namespace stairspur;
using namespace stairspur::retry;

using Driver = GraphDriver<RetryLedger, CallBudget>;

struct NamedPattern
{
    const char *name;
    LossPattern losses;
};

static const NamedPattern patterns[] = {
        {"nothing lost", {}},
        {"lost requests", {.lostRequest = 0.3}},
        {"lost answers", {.lostAnswer = 0.3}},
        {"all answers lost", {.lostAnswer = 1.0}},
        {"all requests lost", {.lostRequest = 1.0}},
        {"refusals", {.refusal = 0.5}},
        {"all refused", {.refusal = 1.0}},
        {"failures", {.failure = 0.3}},
        {"all fail", {.failure = 1.0}},
        {"duplicates", {.lostAnswer = 0.2, .duplicate = 0.5}},
        {"answers with false claims", {.failure = 0.3, .falseClaim = 1.0}},
        {"all faults at once", {0.1, 0.2, 0.1, 0.2, 0.3, 0.5}},
};

static auto checkBound(const GraphShape &shape, const NamedPattern &pattern, bool isParallel,
                       std::uint64_t seed) -> void
{
    auto losses = pattern.losses;
    losses.isParallel = isParallel;
    auto driver = Driver(shape, losses, seed);
    for (const auto budget : {0U, 1U, 3U, 10U, 64U}) {
        const auto run = driver.run(budget);
        cr_assert_leq(run.dispatches, driver.calls() + budget,
                      "%s, depth %u, fan-out %u, budget %u, seed %lu: %lu dispatches of %lu calls",
                      pattern.name, shape.depth, shape.fanOut, budget, seed, run.dispatches,
                      driver.calls());
        cr_assert_eq(driver.openCalls(), 0);
    }
}

Test(RetryBound, dispatchesStayWithinCallsPlusBudget)
{
    constexpr auto Seeds = 5;
    for (const auto &pattern : patterns) {
        for (auto depth = 1U; depth <= 10; ++depth) {
            for (auto fanOut = 1U; fanOut <= 4; ++fanOut) {
                for (auto seed = 1U; seed <= Seeds; ++seed) {
                    checkBound({depth, fanOut}, pattern, false, seed);
                    checkBound({depth, fanOut}, pattern, true, seed);
                }
            }
        }
    }
}

Test(RetryBound, graphHasItsDepthAndFanOut)
{
    cr_assert_eq(makeGraph({10, 1}).size(), 10);
    cr_assert_eq(makeGraph({3, 4}).size(), 21);
    cr_assert_eq(makeGraph({10, 4}).size(), 300);
}

Test(RetryBound, withoutLossEveryCallRunsOnce)
{
    auto driver = Driver({6, 2}, {}, 1);
    const auto run = driver.run(3);
    cr_assert(run.isSuccess);
    cr_assert_eq(run.dispatches, driver.calls());
}

Test(RetryBound, oneExtraAttemptRecoversFromALostAnswerAtTheRoot)
{
    auto successes = 0;
    for (auto seed = 1U; seed <= 200; ++seed)
        successes += Driver({1, 1}, {.lostAnswer = 0.5}, seed).run(1).isSuccess ? 1 : 0;
    cr_assert_gt(successes, 130,
                 "%d of 200 succeeded; a single attempt succeeds in half of the runs", successes);
}
