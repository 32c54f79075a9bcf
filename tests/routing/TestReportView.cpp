#include <criterion/criterion.h>

#include <cmath>

#include "../../source/routing/ReportView.h"

#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

static constexpr auto HalfLife = Duration{500'000};

Test(ReportView, implausibleReportsAreBounded)
{
    struct
    {
        const char *name;
        admission::LoadReport report;
        std::uint32_t slots;
        std::uint32_t ownInFlight;
        std::uint32_t limit;
        double othersLoad;
    } cases[] = {
            {"truthful", {1, 10, 5, 2, {}, false, {}}, 10, 0, 10, 0.7},
            {"own calls are subtracted", {1, 10, 5, 2, {}, false, {}}, 10, 4, 10, 0.3},
            {"fewer in flight than this entry sent", {1, 10, 1, 0, {}, false, {}}, 10, 4, 10, 0.0},
            {"limit 0", {1, 0, 5, 0, {}, false, {}}, 10, 0, 1, 1.0},
            {"limit above the slots", {1, 4'000'000'000U, 10, 0, {}, false, {}}, 10, 0, 10, 1.0},
            {"in flight above the limit",
             {1, 10, 4'000'000'000U, 0, {}, false, {}},
             10,
             0,
             10,
             1.0},
            {"queue far above the limit",
             {1, 10, 0, 4'000'000'000U, {}, false, {}},
             10,
             0,
             10,
             4.0},
            {"no slots", {1, 10, 0, 0, {}, false, {}}, 0, 0, 1, 0.0},
    };
    for (const auto &it : cases) {
        auto view = ReportView();
        view.update(it.report, it.slots, it.ownInFlight, Start);
        cr_assert_eq(view.limit(), it.limit, "%s", it.name);
        cr_assert_lt(std::abs(view.othersLoad() - it.othersLoad), 1e-6, "%s", it.name);
    }
}

Test(ReportView, implausibleWaitsAreBounded)
{
    auto view = ReportView();
    view.update({1, 10, 0, 0, Duration::max(), false, {}}, 10, 0, Start);
    cr_assert_eq(view.estimatedWait(), Duration{60'000'000});
    view.update({2, 10, 0, 0, Duration::min(), false, {}}, 10, 0, Start);
    cr_assert_eq(view.estimatedWait(), Duration::zero());
}

Test(ReportView, orderIsKeptUntilTheCurrentReportExpires)
{
    auto view = ReportView();
    cr_assert(view.isNewer(makeReport(1, 0), Start, HalfLife), "the first one");
    view.update(makeReport(5, 0), 10, 0, Start);
    cr_assert(view.isNewer(makeReport(6, 0), Start, HalfLife));
    cr_assert(!view.isNewer(makeReport(5, 0), Start, HalfLife), "a duplicate");
    cr_assert(!view.isNewer(makeReport(4, 0), Start + HalfLife * 8, HalfLife), "a late one");
    cr_assert(view.isNewer(makeReport(1, 0), Start + HalfLife * 9, HalfLife), "a restarted gate");
}

Test(ReportView, confidenceHalvesWithEachHalfLife)
{
    auto view = ReportView();
    cr_assert_eq(view.confidence(Start, HalfLife), 0.0, "no report");
    view.update(makeReport(1, 0), 10, 0, Start);
    cr_assert_eq(view.confidence(Start, HalfLife), 1.0);
    cr_assert_eq(view.confidence(Start + HalfLife, HalfLife), 0.5);
    cr_assert_eq(view.confidence(Start + HalfLife * 3, HalfLife), 0.125);
    cr_assert_eq(view.confidence(Start - HalfLife, HalfLife), 1.0, "a time before the report");
}
