#include <stairspur/distribution/WatchSchedule.h>

// This header is included after Boost, because its macros break Boost's headers.
#include <criterion/criterion.h>

/// Tests of the times at which a node opens and closes its watch of the store's head.
using namespace stairspur;
using namespace stairspur::distribution;
using namespace std::chrono_literals;

static constexpr auto Start = TimePoint{Duration{1'000'000}};

/// Opens a watch that ends after a while, and returns the pause that follows.
static auto pauseAfter(WatchSchedule &schedule, TimePoint &now, Duration lasted,
                       WatchEnding ending = WatchEnding::Other) -> Duration
{
    cr_assert(schedule.next(true, now) == WatchStep::Open);
    now += lasted;
    const auto pause = schedule.didEnd(ending, now);
    cr_expect(pause == Duration{0} || !schedule.next(true, now));
    now += pause;
    return pause;
}

Test(WatchSchedule, relaysAloneWatch)
{
    auto schedule = WatchSchedule(1);
    cr_expect(!schedule.next(false, Start));
    cr_expect(schedule.next(true, Start) == WatchStep::Open);
    cr_expect(!schedule.next(true, Start));
    cr_expect(schedule.next(false, Start) == WatchStep::Close);
    cr_expect(!schedule.next(false, Start), "it is closed only once");
    cr_expect(!schedule.next(true, Start), "it has not ended yet");
}

Test(WatchSchedule, aNodeThatBecomesARelayWatchesAtOnce)
{
    auto schedule = WatchSchedule(1);
    for (auto second = 0s; second < 600s; second += 1s)
        cr_expect(!schedule.next(false, Start + second));
    cr_expect(schedule.next(true, Start + 600s) == WatchStep::Open);
}

Test(WatchSchedule, cutsOfEarlierWatchesDoNotLengthenAPause)
{
    auto schedule = WatchSchedule(1);
    auto now = Start;
    for (auto n = 0; n < 50; ++n)
        cr_expect(pauseAfter(schedule, now, 14s) <= 100ms);
}

Test(WatchSchedule, consecutiveRefusalsLengthenThePauseUpToItsLimit)
{
    auto schedule = WatchSchedule(1);
    auto now = Start;
    cr_expect(pauseAfter(schedule, now, 5ms) <= 100ms);
    for (auto n = 0; n < 4; ++n)
        pauseAfter(schedule, now, 5ms);
    for (auto n = 0; n < 50; ++n) {
        const auto pause = pauseAfter(schedule, now, 5ms);
        cr_expect(pause >= 250ms && pause <= 500ms);
    }
}

Test(WatchSchedule, onlyTheFirstLostHistoryReopensAtOnce)
{
    auto schedule = WatchSchedule(1);
    auto now = Start;
    pauseAfter(schedule, now, 14s);
    cr_expect(pauseAfter(schedule, now, 5ms, WatchEnding::HistoryLost) == Duration{0});
    for (auto n = 0; n < 5; ++n)
        cr_expect(pauseAfter(schedule, now, 5ms, WatchEnding::HistoryLost) > Duration{0});
    pauseAfter(schedule, now, 14s);
    cr_expect(pauseAfter(schedule, now, 5ms, WatchEnding::HistoryLost) == Duration{0});
}

Test(WatchSchedule, aNodeThatIsARelayForAMomentDoesNotWatch)
{
    // A starting node is the only member of its failure domain until it receives the others from membership.
    auto schedule = WatchSchedule(1, WatchSettling);
    cr_expect(!schedule.next(true, Start));
    cr_expect(!schedule.next(true, Start + 300ms));
    cr_expect(!schedule.next(false, Start + 400ms));
    cr_expect(!schedule.next(true, Start + 500ms));
    cr_expect(!schedule.next(true, Start + 1400ms), "a relay again for only 0.9 s");
    cr_expect(schedule.next(true, Start + 1500ms) == WatchStep::Open);
    schedule.didEnd(WatchEnding::HistoryLost, Start + 3s);
    cr_expect(schedule.next(true, Start + 3s) == WatchStep::Open, "later watches do not wait");
}

Test(WatchSchedule, aWatchIsReopenedAtOnceWhenAnotherConnectionWasFoundSilent)
{
    auto schedule = WatchSchedule(1);
    cr_assert(schedule.next(true, Start) == WatchStep::Open);
    cr_expect_not(schedule.didFindSilence(Start), "the watch was opened on a new connection");
    cr_expect(schedule.didFindSilence(Start + 5s));
    cr_expect_not(schedule.didFindSilence(Start + 5s), "it has not ended yet");
    cr_expect(schedule.didEnd(WatchEnding::Other, Start + 6s) == Duration{0});
    cr_expect(schedule.next(true, Start + 6s) == WatchStep::Open);
    cr_expect(schedule.didEnd(WatchEnding::Other, Start + 7s) > Duration{0},
              "later watches follow after a pause");
}
