#include <criterion/criterion.h>

#include <stairspur/core/TokenBucket.h>
#include <stairspur/store/Backoff.h>

#include "standins/store/StoreState.h"

using namespace stairspur;
using namespace stairspur::store;
using namespace std::chrono_literals;

static constexpr auto Start = TimePoint{Duration{1'000'000}};

Test(TokenBucket, callsBeyondTheBurstWait)
{
    auto bucket = TokenBucket(5, 2);
    const Duration waits[] = {0ms, 0ms, 200ms, 400ms};
    for (const auto it : waits)
        cr_assert_eq(bucket.take(Start).count(), it.count());
    cr_assert(!bucket.tryTake(Start + 500ms));
    cr_assert(bucket.tryTake(Start + 700ms));
}

Test(Backoff, growsToItsMaximumWithJitter)
{
    auto random = Random(7);
    auto backoff = Backoff(100ms, 1s);
    for (const auto ceiling : {100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms}) {
        const auto wait = backoff.next(random);
        cr_assert(wait >= ceiling / 2 && wait <= ceiling);
    }
    backoff.reset();
    cr_assert(backoff.next(random) <= 100ms);
}

Test(StoreState, leasesExpireByTheGivenClock)
{
    auto state = standin::StoreState();
    const auto key = standin::encodeBase64("key");
    const auto id = state.handle("lease/grant", {{"TTL", "2"}}, Start).at("ID");
    state.handle("put", {{"key", key}, {"lease", id}}, Start);
    state.handle("lease/keepalive", {{"ID", id}}, Start + 1s);
    cr_assert(state.handle("range", {{"key", key}}, Start + 2900ms).contains("kvs"));
    cr_assert(!state.handle("range", {{"key", key}}, Start + 3s).contains("kvs"));
}

Test(StoreState, transactionsAreAtomic)
{
    auto state = standin::StoreState();
    const auto key = standin::encodeBase64("key");
    const auto good = standin::Json{{"request_put", {{"key", key}}}};
    const auto bad = standin::Json{{"request_put", {{"key", ""}}}};
    cr_assert_throw(state.handle("txn", {{"success", {good, bad}}}, Start), standin::StoreError);
    cr_assert_eq(state.revision(), 1);
    cr_assert_throw(state.handle("txn", {{"success", {good, good}}}, Start), standin::StoreError);
}
