#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

#include <stairspur/core/Random.h>
#include <stairspur/retry/RetryTokenBucket.h>
#include <stairspur/retry/RetryWindow.h>

using namespace stairspur;
using namespace stairspur::retry;

static constexpr auto Second = Duration{1'000'000};
static constexpr auto Window = 10 * Second;
static constexpr auto Share = 0.2;
static constexpr auto Slack = 3.0;
static constexpr auto Start = TimePoint{Duration{1'000'000'000}};

/// The times of all requests and retries, from which the counts of any span are computed.
struct History
{
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;

    static auto countIn(const std::vector<TimePoint> &times, TimePoint from, TimePoint to) -> double
    {
        const auto first = std::lower_bound(times.begin(), times.end(), from);
        return static_cast<double>(std::lower_bound(first, times.end(), to) - first);
    }

    /// Returns the number of retries above the limit in the worst of the spans that end at a retry.
    [[nodiscard]] auto worstExcess() const -> double
    {
        auto worst = 0.0;
        for (const auto &it : retries) {
            const auto to = it + Duration{1};
            const auto from = to - Window;
            const auto most =
                    std::max({countIn(requests, from, to), countIn(requests, from - Window, from),
                              countIn(requests, from - Window / 2, to - Window / 2)});
            worst = std::max(worst, countIn(retries, from, to) - Share * most - Slack);
        }
        return worst;
    }
};

Test(RetryWindow, allowsAShareOfTheRequestsOfTheSpanOrOfTheOneBeforeIt)
{
    auto window = RetryWindow(Window);
    cr_assert_float_eq(window.allowance(Share, Slack, Start), Slack, 1e-9);
    for (auto n = 0; n < 100; ++n)
        window.didRequest(Start);
    cr_assert_float_eq(window.allowance(Share, Slack, Start), 20 + Slack, 1e-9);
    cr_assert_float_eq(window.allowance(Share, Slack, Start + Second * 5), 20 + Slack, 1e-9);
    cr_assert_float_eq(window.allowance(Share, Slack, Start + Second * 30), Slack, 1e-9,
                       "old requests are no longer counted");
    for (auto n = 0; n < 5; ++n)
        window.didRetry(Start + Second * 30);
    cr_assert_lt(window.allowance(Share, Slack, Start + Second * 30), 0);
    cr_assert_float_eq(window.allowance(Share, Slack, Start + Second * 42), Slack, 1e-9);
}

Test(RetryWindow, noSpanExceedsItsShareUnderAnyTraffic)
{
    for (auto seed = std::uint64_t{1}; seed <= 30; ++seed) {
        auto random = Random(seed);
        auto window = RetryWindow(Window);
        auto history = History();
        auto now = Start;
        auto rate = std::uint64_t{1};
        for (auto step = 0; step < 4000; ++step) {
            now += Duration{static_cast<Duration::rep>(randomBelow(random, 20'000))};
            if (step % 500 == 0)
                rate = 1 + randomBelow(random, 12);
            for (auto n = std::uint64_t{0}; n < randomBelow(random, rate); ++n) {
                window.didRequest(now);
                history.requests.push_back(now);
            }
            while (window.allowance(Share, Slack, now) >= 1 && randomBelow(random, 3) > 0) {
                window.didRetry(now);
                history.retries.push_back(now);
            }
        }
        // Slots shift a span of requests by at most half a second, a twentieth of its length.
        const auto slotOfRequests = Share * 12 * 50;
        cr_assert_leq(history.worstExcess(), slotOfRequests, "seed %lu", seed);
        cr_assert_gt(history.retries.size(), 100, "seed %lu: the window allows some retries", seed);
    }
}

/// Returns the history of a service that gets one request every 2 ms for ten seconds. In the next eight seconds it
/// fails so often that only one request arrives every 10 ms, and every allowed retry is made.
static auto historyWithFault(const BucketLimits &limits) -> History
{
    static constexpr auto Step = Duration{2'000};
    auto bucket = RetryTokenBucket(limits);
    auto history = History();
    for (auto now = Start; now < Start + Second * 18; now += Step) {
        const auto isFault = now >= Start + Window;
        bucket.advanceTo(now);
        if (!isFault || now.time_since_epoch() % (5 * Step) == Duration::zero()) {
            bucket.didRequest();
            history.requests.push_back(now);
        }
        if (isFault && bucket.tryTake())
            history.retries.push_back(now);
    }
    return history;
}

Test(RetryTokenBucket, withAWindowEarlierTrafficSetsTheLimitDuringAFault)
{
    const auto plain = historyWithFault({0, Share, Slack});
    const auto windowed = historyWithFault({0, Share, Slack, Window});
    // 5,000 requests in ten seconds allow 1,000 retries. A bucket that only requests fill gets a token for a
    // fifth of the 800 requests of the fault.
    cr_assert_lt(plain.retries.size(), 170);
    cr_assert_gt(windowed.retries.size(), 700);
    cr_assert_leq(windowed.worstExcess(), 0.0);
    const auto inFirstSecond =
            History::countIn(windowed.retries, Start + Window, Start + Window + Second);
    cr_assert_gt(inFirstSecond, 200);
    cr_assert_lt(inFirstSecond, 500, "the retries are spread over the fault");
    const auto inLastSecond =
            History::countIn(windowed.retries, Start + Second * 17, Start + Second * 18);
    cr_assert_gt(inLastSecond, 20, "some tokens remain until the end of the fault");
}

Test(RetryTokenBucket, repeatsOfTheCallAboveAreCountedInTheWindow)
{
    auto bucket = RetryTokenBucket({0, Share, Slack, Window});
    bucket.advanceTo(Start);
    for (auto n = 0; n < 100; ++n)
        bucket.didRequest();
    for (auto n = 0; n < 23; ++n)
        bucket.chargeRepeat();
    for (auto now = Start; now < Start + Second * 9; now += Second / 10) {
        bucket.advanceTo(now);
        cr_assert(!bucket.tryTake(), "the repeats have used the whole allowance");
    }
}
