#include <criterion/criterion.h>

#include "../../source/node/ShutdownSchedule.h"

using namespace stairspur;
using namespace stairspur::node;

static constexpr auto Second = Duration{1'000'000};
static constexpr auto Now = TimePoint{Second * 100};
static constexpr auto End = Now + Second * 5;
static constexpr auto BeforeEnd = End - Second;
static constexpr auto AfterEnd = End + Second;

Test(ShutdownSchedule, acceptsAllWithoutAShutdown)
{
    auto schedule = ShutdownSchedule();
    schedule.endNotice();
    cr_assert(schedule.accepts(false, AfterEnd, Now));
    cr_assert(schedule.limit(AfterEnd) == AfterEnd);
    cr_assert(!schedule.hasEnded(AfterEnd));
}

Test(ShutdownSchedule, acceptsWhatEndsBeforeTheNode)
{
    struct
    {
        const char *name;
        bool isNoticeOver;
        bool isDeeperCall;
        TimePoint deadline;
        TimePoint now;
        bool isAccepted;
    } const cases[] = {
            {"a long call during the notice", false, false, AfterEnd, Now, true},
            {"a long deeper call during the notice", false, true, AfterEnd, Now, true},
            {"a long call after the notice", true, false, AfterEnd, Now, false},
            {"a short call after the notice", true, false, BeforeEnd, Now, true},
            {"a call until the end", true, false, End, Now, true},
            {"a long deeper call after the notice", true, true, AfterEnd, Now, true},
            {"a deeper call at the end", true, true, AfterEnd, End, false},
            {"a call at the end, during the notice", false, false, AfterEnd, End, false},
    };
    for (const auto &it : cases) {
        auto schedule = ShutdownSchedule();
        schedule.start(End);
        if (it.isNoticeOver)
            schedule.endNotice();
        cr_expect_eq(schedule.accepts(it.isDeeperCall, it.deadline, it.now), it.isAccepted, "%s",
                     it.name);
    }
}

Test(ShutdownSchedule, givesNoCallMoreTimeThanTheNodeHas)
{
    auto schedule = ShutdownSchedule();
    schedule.start(End);
    cr_assert(schedule.limit(AfterEnd) == End);
    cr_assert(schedule.limit(BeforeEnd) == BeforeEnd);
    cr_assert(!schedule.hasEnded(BeforeEnd));
    cr_assert(schedule.hasEnded(End));
}

Test(ShutdownSchedule, delaysRetriesUntilTheNodeHasEnded)
{
    auto schedule = ShutdownSchedule();
    schedule.start(End);
    cr_assert(schedule.retryAfter(Now) == Second * 5);
    cr_assert_gt(schedule.retryAfter(AfterEnd).count(), 0);
}
