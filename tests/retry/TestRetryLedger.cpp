#include <array>

#include <criterion/criterion.h>

#include <stairspur/core/Random.h>
#include <stairspur/retry/CallBudget.h>
#include <stairspur/retry/RetryLedger.h>
#include <stairspur/retry/RetryTokenBucket.h>

using namespace stairspur;
using namespace stairspur::retry;

Test(RetryLedger, shareIsHalfOfWhatIsLeftRoundedUp)
{
    struct
    {
        std::uint32_t budget;
        std::uint32_t first;
        std::uint32_t second;
        std::uint32_t remaining;
    } cases[] = {{0, 0, 0, 0}, {1, 1, 0, 0}, {2, 1, 1, 0}, {3, 2, 1, 0}, {10, 5, 3, 2}};
    for (const auto &it : cases) {
        auto ledger = RetryLedger();
        ledger.open(7, it.budget);
        cr_assert_eq(ledger.takeShare(7).value(), it.first, "budget %u", it.budget);
        cr_assert_eq(ledger.takeShare(7).value(), it.second, "budget %u", it.budget);
        cr_assert_eq(ledger.close(7), it.remaining, "budget %u", it.budget);
    }
}

Test(RetryLedger, aCallThatIsNotOpenHasNoBudget)
{
    auto ledger = RetryLedger();
    cr_assert(!ledger.isOpen(1));
    cr_assert(!ledger.isRepeat(1));
    cr_assert(!ledger.takeShare(1));
    ledger.returnUnspent(1, 5);
    cr_assert(!ledger.isOpen(1));
    cr_assert_eq(ledger.close(1), 0);
}

Test(RetryLedger, noMoreIsReturnedThanWasTaken)
{
    auto ledger = RetryLedger();
    ledger.open(1, 4);
    ledger.takeShare(1);
    ledger.returnUnspent(1, 4'000'000'000U);
    cr_assert_eq(ledger.remaining(1), 2, "a false claim returns nothing");
    ledger.returnUnspent(1, 2);
    ledger.returnUnspent(1, 1);
    cr_assert_eq(ledger.close(1), 4);
}

Test(RetryLedger, aDispatchBelowARepeatCostsOneExtraAttempt)
{
    auto ledger = RetryLedger();
    ledger.open(1, 2, true);
    cr_assert(ledger.isRepeat(1));
    cr_assert_eq(ledger.takeShare(1).value(), 1);
    cr_assert(!ledger.takeShare(1), "no extra attempts remain for the dispatch");
    cr_assert(ledger.isOpen(1));
}

Test(CallBudget, anAttemptAtAServiceWithoutDeeperCallsCarriesNoBudget)
{
    auto budget = CallBudget(1, false);
    const auto first = budget.startAttempt(false);
    cr_assert_eq(first.retryBudget, 0);
    cr_assert(!first.isRepeat);
    cr_assert(budget.trySpend(), "a lost answer leaves the budget unchanged");
    cr_assert(budget.startAttempt(false).isRepeat);
    cr_assert(!budget.trySpend());
}

Test(CallBudget, aLostAnswerLosesTheBudgetThatTheAttemptCarried)
{
    auto budget = CallBudget(3, false);
    cr_assert_eq(budget.startAttempt(true).retryBudget, 3);
    budget.didReceiveAnswer(2);
    cr_assert_eq(budget.remaining(), 2);
    budget.didReceiveAnswer(2);
    cr_assert_eq(budget.remaining(), 2, "a second answer to one attempt returns nothing");
    cr_assert_eq(budget.startAttempt(true).retryBudget, 2);
    budget.didReceiveAnswer(1000);
    cr_assert_eq(budget.remaining(), 0, "a false claim returns nothing");
    cr_assert(!budget.trySpend());
}

Test(RetryTokenBucket, requestsAddTokensAndASmallerSizeDropsThem)
{
    auto bucket = RetryTokenBucket(BucketLimits{0, 0.5, 2});
    cr_assert(bucket.tryTake() && bucket.tryTake() && !bucket.tryTake());
    bucket.didRequest();
    bucket.didSucceed();
    cr_assert(!bucket.tryTake(), "with these limits a success adds no token");
    bucket.didRequest();
    cr_assert(bucket.tryTake());
    bucket.setLimits({0, 1.0, 1});
    for (auto n = 0; n < 9; ++n)
        bucket.didRequest();
    cr_assert_leq(bucket.tokens(), 1.0);
}

Test(RetryTokenBucket, repeatsOfTheCallAboveCanCauseDebt)
{
    auto bucket = RetryTokenBucket(BucketLimits{0, 1.0, 2});
    for (auto n = 0; n < 5; ++n)
        bucket.chargeRepeat();
    for (auto n = 0; n < 3; ++n)
        bucket.didRequest();
    cr_assert(!bucket.tryTake(),
              "three requests add three tokens, which cover three of the five repeats");
}

Test(RetryTokenBucket, scarceTokensAreGrantedToFewRoots)
{
    constexpr auto Levels = std::uint16_t{128};
    auto bucket = RetryTokenBucket(BucketLimits{0, 0.2, 2});
    auto retries = std::array<int, Levels>();
    auto random = Random(3);
    for (auto n = 0; n < 20'000; ++n) {
        const auto hash = static_cast<std::uint16_t>(randomBelow(random, Levels));
        const auto level = makeLevel(0, hash);
        bucket.advanceTo(TimePoint{Duration{n * 1000}});
        bucket.didRequest();
        bucket.recordDemand(level);
        const auto isGranted = bucket.hasTokenFor(level);
        if (isGranted)
            bucket.tryTake();
        if (n >= 10'000)
            retries[hash] += isGranted ? 1 : 0;
    }
    auto low = 0;
    auto high = 0;
    for (auto hash = 0; hash < Levels; ++hash)
        (hash < Levels / 2 ? low : high) += retries[hash];
    cr_assert_gt(high, 20 * low, "the upper half got %d tokens, the lower half %d", high, low);
}

Test(RetryTokenBucket, theFloorDecreasesOnceTokensAreAvailableAgain)
{
    auto bucket = RetryTokenBucket(BucketLimits{0, 1.0, 1});
    cr_assert(bucket.tryTake());
    auto now = TimePoint{Duration{1'000'000}};
    for (auto n = 0; n < 1000; ++n) {
        bucket.recordDemand(makeLevel(0, 127));
        bucket.advanceTo(now += Duration{1000});
    }
    cr_assert_gt(bucket.floor(), makeLevel(0, 0));
    for (auto n = 0; n < 5000; ++n) {
        bucket.didRequest();
        bucket.advanceTo(now += Duration{1000});
    }
    cr_assert(bucket.hasTokenFor(LowestLevel));
}

Test(RetryTokenBucket, retriesAreAShareOfSuccesses)
{
    auto bucket = RetryTokenBucket(0.1, 2);
    cr_assert(bucket.tryTake());
    cr_assert(bucket.tryTake());
    cr_assert(!bucket.tryTake(), "the bucket starts full, with two tokens");
    for (auto n = 0; n < 11; ++n)
        bucket.didSucceed();
    cr_assert(bucket.tryTake());
    cr_assert(!bucket.tryTake());
    for (auto n = 0; n < 1000; ++n)
        bucket.didSucceed();
    cr_assert_leq(bucket.tokens(), 2.0);
}
