#include <criterion/criterion.h>

#include <cmath>

#include "../../source/routing/LoadEstimate.h"
#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

static constexpr auto HalfLife = Duration{500'000};

static auto makeView(const NodeId &node) -> UpstreamView
{
    return {Upstream{node, "own", 1, 10, false}, Start};
}

Test(LoadEstimate, oldReportsMoveTowardsThePoolsMean)
{
    // The report of the other upstream is always current, with 5 of 10 calls in flight.
    struct
    {
        const char *name;
        std::optional<std::uint32_t> inFlight;
        int halfLives;
        std::uint32_t ownSends;
        double load; // Includes 0.1 for the call to be sent.
    } cases[] = {
            {"fresh and idle", 0, 0, 0, 0.1},
            {"fresh and busy", 10, 0, 0, 1.1},
            {"half old and idle", 0, 1, 0, 0.1 + 1.0 / 6},
            {"very old and idle", 0, 30, 0, 0.6},
            {"very old and busy", 10, 30, 0, 0.6},
            {"missing", std::nullopt, 0, 0, 0.6},
            {"own calls are added", 0, 0, 3, 0.4},
            {"however old the report", 0, 30, 3, 0.9},
    };
    for (const auto &it : cases) {
        auto other = makeView("other");
        auto view = makeView("view");
        const auto now = Start + HalfLife * it.halfLives;
        other.didReceiveReport(makeReport(1, 5), now, HalfLife);
        if (it.inFlight)
            view.didReceiveReport(makeReport(1, *it.inFlight), Start, HalfLife);
        for (auto n = 0U; n < it.ownSends; ++n)
            view.didSend(Start);
        auto estimate = LoadEstimate(now, HalfLife, HalfLife);
        estimate.include(other);
        estimate.include(view);
        cr_assert_lt(std::abs(estimate.loadOf(view) - it.load), 1e-6, "%s: %f", it.name,
                     estimate.loadOf(view));
    }
}

Test(LoadEstimate, onlyOwnCallsCountWithoutReports)
{
    auto view = makeView("view");
    view.didSend(Start);
    auto estimate = LoadEstimate(Start, HalfLife, HalfLife);
    estimate.include(view);
    cr_assert_lt(std::abs(estimate.loadOf(view) - 0.2), 1e-6);
    cr_assert_eq(estimate.expectedTime(view), Duration::zero());
}

Test(LoadEstimate, expectedTimeIsTheAgedWaitPlusTheMinLatency)
{
    auto view = makeView("view");
    view.didEnd(
            {"view", Outcome::Answered, Reason::None, Millisecond * 8, std::nullopt, std::nullopt},
            Start, HalfLife);
    view.didEnd(
            {"view", Outcome::Answered, Reason::None, Millisecond * 4, std::nullopt, std::nullopt},
            Start, HalfLife);
    view.didReceiveReport({1, 10, 10, 2, Millisecond * 100, false, {}}, Start, HalfLife);
    for (const auto &[halfLives, ms] : {std::pair{0, 104}, {1, 54}, {2, 29}}) {
        const auto estimate = LoadEstimate(Start + HalfLife * halfLives, HalfLife, HalfLife);
        cr_assert_eq(estimate.expectedTime(view), Millisecond * ms);
    }
}

Test(LoadEstimate, aSmallerIncarnationIsIgnored)
{
    auto view = makeView("view");
    view.didReceiveReport(makeReport(1, 5), Start, HalfLife);
    view.update({"view", "elsewhere", 0, 10, true}, Start);
    cr_assert_eq(view.upstream().domain, "own");
    cr_assert(!view.isDraining(Start, HalfLife));
    cr_assert_eq(view.reports().confidence(Start, HalfLife), 1.0);
}
