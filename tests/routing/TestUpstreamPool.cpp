#include <criterion/criterion.h>

#include <map>

#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

static auto reportToAll(PoolFixture &fixture, const std::vector<Upstream> &members,
                        const admission::LoadReport &report) -> void
{
    for (const auto &it : members)
        fixture.pool.didReceiveReport(it.node, report, fixture.now);
}

static auto twoDomains() -> std::vector<Upstream>
{
    auto members = makeUpstreams("own", 3);
    for (const auto &it : makeUpstreams("far", 3))
        members.push_back(it);
    return members;
}

Test(UpstreamPool, anEmptyPoolRefusesWithADelay)
{
    auto fixture = PoolFixture({});
    const auto decision = fixture.choose(levelOf(0));
    cr_assert(!decision.node);
    cr_assert_eq(decision.refusal, Reason::NoUpstream);
    cr_assert_gt(decision.retryAfter, Duration::zero());
    cr_assert_eq(fixture.pool.floorFor(0, fixture.now), ClosedLevel);
}

Test(UpstreamPool, drainingUpstreamsGetNoCalls)
{
    auto members = makeUpstreams("own", 2);
    members[0].isDraining = true;
    auto fixture = PoolFixture(members);
    for (auto n = 0; n < 100; ++n)
        cr_assert_eq(fixture.choose(levelOf(0)).node, "own1");
    auto report = makeReport(1, 0);
    report.isDraining = true;
    fixture.pool.didReceiveReport("own1", report, fixture.now);
    const auto decision = fixture.choose(levelOf(0));
    cr_assert(!decision.node);
    cr_assert_eq(decision.refusal, Reason::Draining);
    cr_assert_gt(decision.retryAfter, Duration::zero());
}

Test(UpstreamPool, aDrainingRefusalAppliesAtOnceAndForABoundedTime)
{
    auto fixture = PoolFixture(makeUpstreams("own", 1));
    fixture.attempt("own0", Outcome::NotRun, Reason::Draining);
    cr_assert(!fixture.choose(levelOf(0)).node);
    fixture.now += fixture.settings.reportHalfLife * 9;
    cr_assert(fixture.choose(levelOf(0)).node);
}

Test(UpstreamPool, theOwnDomainComesFirstAndAFloorOrAWaitSpillsOver)
{
    const auto members = twoDomains();
    struct
    {
        const char *name;
        admission::LoadReport ownReport;
        char domain;
        RouteReason reason;
    } cases[] = {
            {"idle", makeReport(1, 0), 'o', RouteReason::LessLoaded},
            {"busy", makeReport(1, 10), 'o', RouteReason::LessLoaded},
            {"floor above", makeReport(1, 0, {ClosedLevel}), 'f', RouteReason::Spilled},
            {"short wait",
             {1, 10, 10, 1, Millisecond * 100, false, {}},
             'o',
             RouteReason::LessLoaded},
            {"long wait", {1, 10, 10, 9, Millisecond * 400, false, {}}, 'f', RouteReason::Spilled},
            {"too late", {1, 10, 10, 9, Millisecond * 2000, false, {}}, 'f', RouteReason::Spilled},
            {"draining", {1, 10, 0, 0, {}, true, {}}, 'f', RouteReason::Spilled},
    };
    for (const auto &it : cases) {
        auto fixture = PoolFixture(members);
        reportToAll(fixture, makeUpstreams("own", 3), it.ownReport);
        reportToAll(fixture, makeUpstreams("far", 3), makeReport(1, 0));
        for (auto n = 0; n < 50; ++n) {
            const auto decision = fixture.choose(levelOf(1));
            cr_assert_eq(decision.node.value().front(), it.domain, "%s", it.name);
            cr_assert_eq(decision.choice, it.reason, "%s", it.name);
        }
    }
}

Test(UpstreamPool, waitsBeyondTheDeadlineEverywhereAreLeftToTheGate)
{
    const auto members = makeUpstreams("own", 3);
    auto fixture = PoolFixture(members);
    reportToAll(fixture, members, {1, 10, 10, 9, Millisecond * 5000, false, {}});
    cr_assert(fixture.choose(levelOf(0)).node, "only the gate may refuse because of its wait");
}

Test(UpstreamPool, freshFloorsRefuseAndTheDelayGrowsWithTheFloor)
{
    const auto members = makeUpstreams("own", 3);
    auto before = Duration::zero();
    for (const auto rank : {ClassRank{4}, ClassRank{2}, ClassRank{0}}) {
        auto fixture = PoolFixture(members);
        reportToAll(fixture, members, makeReport(1, 0, {makeLevel(rank, 127)}));
        auto sum = Duration::zero();
        auto minDelay = Duration::max();
        auto maxDelay = Duration::zero();
        for (auto n = 0; n < 200; ++n) {
            const auto decision = fixture.choose(levelOf(5));
            cr_assert(!decision.node);
            cr_assert_eq(decision.refusal, Reason::BelowFloor);
            cr_assert_eq(decision.candidates, 3);
            sum += decision.retryAfter;
            minDelay = std::min(minDelay, decision.retryAfter);
            maxDelay = std::max(maxDelay, decision.retryAfter);
        }
        cr_assert_leq(maxDelay, fixture.settings.retryAfterMax);
        cr_assert_gt(maxDelay, minDelay * 2, "jittered");
        cr_assert_gt(sum, before * 2, "floor in class %d", rank);
        before = sum;
    }
}

Test(UpstreamPool, aSmallShareProbesBelowTheFloorUnlessForbidden)
{
    const auto members = makeUpstreams("own", 3);
    auto fixture = PoolFixture(members);
    reportToAll(fixture, members, makeReport(1, 0, {ClosedLevel}));
    auto probes = 0;
    for (auto n = 0; n < 10'000; ++n) {
        const auto decision = fixture.choose(levelOf(9), {}, true);
        probes += decision.choice == RouteReason::Probe ? 1 : 0;
        cr_assert_eq(decision.node.has_value(), decision.choice == RouteReason::Probe);
        cr_assert(!fixture.choose(levelOf(9), {}, false).node);
    }
    cr_assert_gt(probes, 50);
    cr_assert_lt(probes, 200);
}

Test(UpstreamPool, anAnsweredProbeOverridesAWrongFloor)
{
    auto fixture = PoolFixture(makeUpstreams("own", 1));
    fixture.pool.didReceiveReport("own0", makeReport(1, 0, {ClosedLevel}), fixture.now);
    cr_assert(!fixture.choose(levelOf(9)).node);
    fixture.pool.didSend("own0", fixture.now);
    fixture.now += Millisecond * 2;
    fixture.pool.didEnd({"own0", Outcome::Answered, Reason::None, Millisecond,
                         makeReport(2, 0, {ClosedLevel}), levelOf(9)},
                        fixture.now, fixture.random);
    cr_assert(fixture.choose(levelOf(9)).node);
    fixture.attempt("own0", Outcome::NotRun, Reason::BelowFloor, levelOf(9));
    cr_assert(!fixture.choose(levelOf(9)).node);
}

Test(UpstreamPool, importantCallsIgnoreOldFloors)
{
    struct
    {
        ClassRank rank;
        Duration age;
        bool isSent;
    } cases[] = {
            {0, Millisecond * 50, false},   {0, Millisecond * 51, true},
            {3, Millisecond * 200, false},  {3, Millisecond * 201, true},
            {9, Millisecond * 500, false},  {9, Millisecond * 501, true},
            {20, Millisecond * 500, false},
    };
    for (const auto &it : cases) {
        auto fixture = PoolFixture(makeUpstreams("own", 2));
        reportToAll(fixture, makeUpstreams("own", 2), makeReport(1, 0, {ClosedLevel}));
        fixture.now += it.age;
        const auto decision = fixture.choose(levelOf(it.rank));
        cr_assert_eq(decision.node.has_value(), it.isSent, "rank %d, age %ld us", it.rank,
                     it.age.count());
        cr_assert(!it.isSent || decision.choice == RouteReason::ImportantBypass);
    }
}

Test(UpstreamPool, theOtherUpstreamsAreUsedWhenTheWholeSubsetRefuses)
{
    const auto members = makeUpstreams("own", 40);
    auto fixture = PoolFixture(members);
    const auto subset = fixture.pool.subset();
    cr_assert_eq(subset.size(), 16);
    for (const auto &it : subset)
        fixture.pool.didReceiveReport(it, makeReport(1, 0, {ClosedLevel}), fixture.now);
    const auto decision = fixture.choose(levelOf(2));
    cr_assert(decision.node);
    cr_assert(std::find(subset.begin(), subset.end(), *decision.node) == subset.end());
}

/// Returns how many calls are needed to find the only one of 40 upstreams that admits them. Each call
/// has eight attempts, and all floors are old again at the next call.
static auto callsUntilAnswered(std::uint64_t seed) -> int
{
    const auto members = makeUpstreams("own", 40);
    auto fixture = PoolFixture(members, seed);
    reportToAll(fixture, members, makeReport(1, 0, {ClosedLevel}));
    for (auto call = 1; call <= 100; ++call) {
        fixture.now += Millisecond * 100;
        auto excluded = std::vector<NodeId>();
        while (excluded.size() < 8) {
            const auto node = fixture.choose(levelOf(0), excluded).node;
            if (node == "own23")
                return call;
            if (!node)
                break;
            fixture.attempt(*node, Outcome::NotRun, Reason::BelowFloor, levelOf(0));
            excluded.push_back(*node);
        }
    }
    return 100;
}

Test(UpstreamPool, callsWithFewAttemptsCoverTheWholePool)
{
    for (auto seed = 1U; seed <= 50; ++seed)
        cr_assert_leq(callsUntilAnswered(seed), 5, "seed %u: %d calls", seed,
                      callsUntilAnswered(seed));
}

Test(UpstreamPool, reportsOfRefusalsAreUsedAndLateReportsAreIgnored)
{
    auto fixture = PoolFixture(makeUpstreams("own", 1));
    fixture.pool.didSend("own0", fixture.now);
    fixture.pool.didEnd({"own0", Outcome::NotRun, Reason::QueueFull, Millisecond,
                         makeReport(7, 10, {levelOf(3)}), levelOf(4)},
                        fixture.now, fixture.random);
    cr_assert_eq(fixture.pool.floorFor(4, fixture.now), levelOf(3));
    fixture.pool.didReceiveReport("own0", makeReport(6, 0), fixture.now);
    cr_assert_eq(fixture.pool.floorFor(4, fixture.now), levelOf(3));
}

Test(UpstreamPool, anUpstreamWithoutReportDoesNotHideTheFloorOfTheOthers)
{
    auto members = makeUpstreams("own", 1);
    members.push_back(makeUpstreams("far", 1).front());
    auto fixture = PoolFixture(members);
    cr_assert_eq(fixture.pool.floorFor(4, fixture.now), LowestLevel, "no report was received");
    fixture.pool.didReceiveReport("own0", makeReport(1, 10, {levelOf(3)}), fixture.now);
    cr_assert_eq(fixture.pool.floorFor(4, fixture.now), levelOf(3));
    fixture.pool.didReceiveReport("far0", makeReport(1, 2), fixture.now);
    cr_assert_eq(fixture.pool.floorFor(4, fixture.now), LowestLevel,
                 "the other upstream admits all");
    fixture.now += fixture.settings.reportHalfLife + Millisecond;
    fixture.pool.didReceiveReport("own0", makeReport(2, 10, {levelOf(3)}), fixture.now);
    cr_assert_eq(fixture.pool.floorFor(4, fixture.now), levelOf(3),
                 "the report of the other upstream is too old");
}

Test(UpstreamPool, aGreaterIncarnationResetsTheState)
{
    auto members = makeUpstreams("own", 1);
    auto fixture = PoolFixture(members);
    fixture.pool.didReceiveReport("own0", makeReport(9, 0, {ClosedLevel}), fixture.now);
    fixture.pool.setUpstreams(members, fixture.now);
    cr_assert(!fixture.choose(levelOf(9)).node, "the same incarnation keeps the recorded state");
    members[0].incarnation = 2;
    fixture.pool.setUpstreams(members, fixture.now);
    cr_assert(fixture.choose(levelOf(9)).node);
}

Test(UpstreamPool, aNewUpstreamReachesItsShareSlowly)
{
    auto members = makeUpstreams("own", 4);
    for (const auto &[age, minShare, maxShare] :
         {std::tuple{0, 0.02, 0.06}, {2'500'000, 0.11, 0.19}, {5'000'000, 0.21, 0.29}}) {
        auto fixture = PoolFixture({members.begin(), members.begin() + 3});
        fixture.now += Millisecond * 60'000;
        fixture.pool.setUpstreams(members, fixture.now);
        fixture.now += Duration{age};
        auto picks = 0;
        constexpr auto Choices = 10'000;
        for (auto n = 0; n < Choices; ++n)
            picks += fixture.choose(levelOf(1)).node == "own3" ? 1 : 0;
        cr_assert_gt(picks, minShare * Choices, "%d of %d at %d us", picks, Choices, age);
        cr_assert_lt(picks, maxShare * Choices, "%d of %d at %d us", picks, Choices, age);
    }
}

Test(UpstreamPool, aNewBackendIncarnationResetsTheState)
{
    // The gate keeps running and its reports stay in order; only the incarnation shows that another backend server is
    // behind it.
    auto fixture = PoolFixture(makeUpstreams("own", 2));
    auto report = makeReport(9, 0, {ClosedLevel});
    report.backendIncarnation = 1;
    fixture.pool.didReceiveReport("own0", report, fixture.now);
    for (auto n = 0; n < 6; ++n)
        fixture.attempt("own0", Outcome::Failed, Reason::BackendFailed);
    cr_assert_eq(fixture.choose(levelOf(2)).node, "own1",
                 "floors and failures keep calls away from own0");
    report = makeReport(10, 0);
    report.backendIncarnation = 2;
    fixture.pool.didReceiveReport("own0", report, fixture.now);
    auto isChosen = false;
    for (auto n = 0; n < 200 && !isChosen; ++n)
        isChosen = fixture.choose(levelOf(2)).node == "own0";
    cr_assert(isChosen);
    fixture.pool.didReceiveReport("own0", makeReport(8, 10, {ClosedLevel}), fixture.now);
    cr_assert_eq(fixture.pool.floorFor(2, fixture.now), LowestLevel,
                 "a late report from the previous incarnation");
}
