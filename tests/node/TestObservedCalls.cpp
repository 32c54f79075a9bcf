#include <criterion/criterion.h>

#include "../../source/node/ObservedCalls.h"

using namespace stairspur;
using namespace stairspur::node;
using namespace std::chrono_literals;

static constexpr auto Start = TimePoint{1h};
static constexpr auto Views = FloorKey(2, 11);
static constexpr auto Orders = FloorKey(0, 22);

Test(ObservedCalls, callsAreRecordedByPath)
{
    auto calls = ObservedCalls();
    calls.didCall(Orders, {"maps", 33}, 1, Start);
    calls.didCall(Views, {"kitchen", 44}, 1, Start);
    calls.didCall(Views, {"maps", 33}, 1, Start);
    const auto paths = calls.paths(Start);
    cr_assert_eq(paths.size(), 2);
    cr_assert_eq(paths[0].path, 11);
    cr_assert(paths[0].calls == (std::vector<DeeperCall>{{"kitchen", 44}, {"maps", 33}}));
    cr_assert_eq(paths[1].path, 22);
    cr_assert(paths[1].calls == (std::vector<DeeperCall>{{"maps", 33}}));
    cr_assert_eq(calls.leastImportantRank(), 2);
}

Test(ObservedCalls, callsExpireAfterTheRetentionTime)
{
    auto calls = ObservedCalls();
    calls.didCall(Views, {"maps", 33}, 1, Start);
    calls.didCall(Views, {"kitchen", 44}, 1, Start + 30s);
    cr_assert(calls.paths(Start + 59s)[0].calls.size() == 2);
    cr_assert(calls.paths(Start + 61s)[0].calls == (std::vector<DeeperCall>{{"kitchen", 44}}));
    cr_assert(calls.paths(Start + 91s).empty());
}

Test(ObservedCalls, callsPerRequestIsTheRecentMaximum)
{
    auto calls = ObservedCalls();
    cr_assert_eq(calls.callsPerRequest(Views.path, {"maps", 33}), 1, "nothing was observed");
    for (auto ordinal = 1U; ordinal <= 4; ++ordinal)
        calls.didCall(Views, {"maps", 33}, ordinal, Start);
    cr_assert_eq(calls.callsPerRequest(Views.path, {"maps", 33}), 4);
    // Requests that fail after their first call don't reduce the number of calls that a request needs.
    for (auto n = 0; n < 100; ++n)
        calls.didCall(Views, {"maps", 33}, 1, Start + 30s);
    cr_assert_eq(calls.callsPerRequest(Views.path, {"maps", 33}), 4);
    cr_assert_eq(calls.callsPerRequest(Orders.path, {"maps", 33}), 1);
    calls.didCall(Views, {"maps", 33}, 2, Start + 61s);
    cr_assert_eq(calls.callsPerRequest(Views.path, {"maps", 33}), 2, "a newer version makes fewer");
}
