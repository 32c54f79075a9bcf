#include <criterion/criterion.h>

#include "../../source/routing/OwnFloorEstimate.h"
#include "../../source/routing/PathFloorEstimate.h"

#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

static constexpr auto HalfLife = Duration{500'000};
static constexpr auto Path = PathKey{11};
static constexpr auto Key = FloorKey{3, Path};

static auto viewOf(std::size_t index) -> UpstreamView
{
    return {makeUpstreams("own", index + 1).back(), Start};
}

/// Returns a view whose upstream reported, at `at`, a floor for the path and one for its own load.
static auto viewWithReport(Level pathFloor, Level ownFloor, TimePoint at) -> UpstreamView
{
    auto view = viewOf(0);
    auto report = makeReport(1, 0, {ownFloor});
    report.pathFloors.push_back({Path, pathFloor});
    view.didReceiveReport(report, at, HalfLife);
    return view;
}

static auto estimateOf(const std::vector<UpstreamView> &views, TimePoint now) -> PathFloorEstimate
{
    auto estimate = PathFloorEstimate(Key, now, HalfLife);
    for (const auto &it : views)
        estimate.include(it);
    return estimate;
}

Test(PathFloorEstimate, oneReportAppliesToAllUpstreams)
{
    const auto view = viewWithReport(levelOf(3), LowestLevel, Start);
    const auto estimate = estimateOf({view, viewOf(1), viewOf(2)}, Start);
    cr_assert_eq(estimate.floor(), levelOf(3));
    cr_assert_eq(estimate.floorOf(viewOf(1)), levelOf(3));
    cr_assert_eq(estimate.age(), Duration::zero());
}

Test(PathFloorEstimate, noReportMeansNoFloor)
{
    const auto estimate = estimateOf({viewOf(0)}, Start);
    cr_assert_eq(estimate.floor(), LowestLevel);
    cr_assert(!estimate.age());
    const auto expired =
            estimateOf({viewWithReport(ClosedLevel, LowestLevel, Start)}, Start + HalfLife * 9);
    cr_assert_eq(expired.floor(), LowestLevel);
}

Test(PathFloorEstimate, newerReportsHaveMoreWeight)
{
    const auto now = Start + Millisecond * 300;
    const auto estimate = estimateOf({viewWithReport(LowestLevel, LowestLevel, Start),
                                      viewWithReport(levelOf(3), LowestLevel, now)},
                                     now);
    cr_assert_gt(estimate.floor().value, levelOf(3).value - 10);
    cr_assert_lt(estimate.floor(), levelOf(3));
    // The estimate for an upstream with an old report moves towards the other reports.
    cr_assert_gt(estimate.floorOf(viewWithReport(LowestLevel, LowestLevel, Start)).value,
                 levelOf(3).value - 20);
    cr_assert_eq(estimate.floorOf(viewWithReport(makeLevel(3, 0), LowestLevel, now)),
                 makeLevel(3, 0), "only its own report counts, because it is current");
}

Test(PathFloorEstimate, aClosedPathCountsOnlyWhereNoneIsOpen)
{
    const auto closed = viewWithReport(ClosedLevel, LowestLevel, Start);
    cr_assert_eq(estimateOf({closed, closed}, Start).floor(), ClosedLevel);
    const auto estimate =
            estimateOf({closed, viewWithReport(levelOf(3), LowestLevel, Start)}, Start);
    cr_assert_eq(estimate.floor(), levelOf(3));
    cr_assert_eq(estimate.floorOf(closed), ClosedLevel);
}

Test(PathFloorEstimate, floorsDecayWithoutReports)
{
    const auto view = viewWithReport(levelOf(3), LowestLevel, Start);
    cr_assert_eq(estimateOf({view}, Start + HalfLife).floor(), levelOf(3));
    cr_assert_lt(estimateOf({view}, Start + HalfLife * 2).floor(), makeLevel(3, 0));
}

Test(OwnFloorEstimate, usesTheLowerQuartileOfRecentReports)
{
    struct
    {
        std::vector<Level> floors;
        Level floor;
    } const cases[] = {
            {{}, LowestLevel},
            {{levelOf(3)}, levelOf(3)},
            {{levelOf(3), LowestLevel}, LowestLevel},
            {{levelOf(3), levelOf(3), levelOf(3), levelOf(3), LowestLevel}, levelOf(3)},
            {{levelOf(3), levelOf(3), levelOf(3), LowestLevel}, LowestLevel},
    };
    for (const auto &it : cases) {
        auto estimate = OwnFloorEstimate(Key, Start, HalfLife);
        for (const auto floor : it.floors)
            estimate.include(viewWithReport(LowestLevel, floor, Start));
        estimate.include(viewWithReport(LowestLevel, LowestLevel,
                                        Start - HalfLife - Millisecond)); // Too old.
        cr_expect_eq(estimate.floor(), it.floor, "%zu reports: %u", it.floors.size(),
                     static_cast<unsigned>(estimate.floor().value));
    }
}
