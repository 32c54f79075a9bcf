#include <criterion/criterion.h>

#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

/// Returns two upstreams in the own failure domain and one in another.
static auto threeUpstreams() -> std::vector<Upstream>
{
    auto members = makeUpstreams("own", 2);
    members.push_back(makeUpstreams("far", 1).front());
    return members;
}

static auto refuseAll(PoolFixture &fixture, const std::vector<Upstream> &members) -> void
{
    for (const auto &it : members)
        fixture.pool.didReceiveReport(it.node, makeReport(1, 0, {ClosedLevel}), fixture.now);
}

static auto chooseFor(PoolFixture &fixture, bool isDeeperCall,
                      const std::vector<NodeId> &excluded = {}) -> RouteDecision
{
    auto request = RouteRequest();
    request.level = levelOf(2);
    request.deadline = fixture.now + Millisecond * 1000;
    request.excluded = excluded;
    request.mayProbe = false;
    request.isDeeperCall = isDeeperCall;
    return fixture.pool.choose(request, fixture.now, fixture.random);
}

Test(UpstreamChoice, floorsDoNotRefuseDeeperCalls)
{
    const auto members = threeUpstreams();
    auto fixture = PoolFixture(members);
    refuseAll(fixture, members);
    cr_assert(!chooseFor(fixture, false).node);
    const auto decision = chooseFor(fixture, true);
    cr_assert(decision.node);
    cr_assert_eq(decision.choice, RouteReason::DeeperCall);
}

Test(UpstreamChoice, deeperCallsAreNotSentToAnUpstreamThatRefusedThem)
{
    const auto members = threeUpstreams();
    auto fixture = PoolFixture(members);
    refuseAll(fixture, members);
    auto excluded = std::vector<NodeId>();
    for (auto n = 0; n < 3; ++n) {
        const auto decision = chooseFor(fixture, true, excluded);
        cr_assert(decision.node);
        excluded.push_back(*decision.node);
    }
    cr_assert(!chooseFor(fixture, true, excluded).node);
}

Test(UpstreamChoice, unreachableUpstreamsAreNoCandidates)
{
    auto fixture = PoolFixture(threeUpstreams());
    fixture.pool.setReachable("own0", false);
    for (auto n = 0; n < 50; ++n)
        cr_assert_eq(chooseFor(fixture, false).node, "own1");
    fixture.pool.setReachable("own1", false);
    cr_assert_eq(chooseFor(fixture, false).node, "far0");
    fixture.pool.setReachable("own0", true);
    cr_assert_eq(chooseFor(fixture, false).node, "own0");
}

Test(UpstreamChoice, anUnreachableServiceHasAClosedFloor)
{
    // A failure domain is cut off: its hosts stay alive in the membership table for some seconds after their links are lost.
    const auto members = threeUpstreams();
    auto fixture = PoolFixture(members);
    cr_assert_eq(fixture.pool.floorFor(2, fixture.now), LowestLevel);
    for (const auto &it : members)
        fixture.pool.setReachable(it.node, false);
    cr_assert_eq(fixture.pool.floorFor(2, fixture.now), ClosedLevel);
    const auto decision = chooseFor(fixture, false);
    cr_assert(!decision.node);
    cr_assert_eq(decision.refusal, Reason::NoUpstream);
    cr_assert_gt(decision.retryAfter, Duration::zero());
    fixture.pool.setReachable("far0", true);
    cr_assert_eq(fixture.pool.floorFor(2, fixture.now), LowestLevel);
}

Test(UpstreamChoice, aClosedPathIsRefusedAsNoUpstream)
{
    // The upstreams report that a service that the path needs has no reachable upstream.
    static constexpr auto Path = PathKey{11};
    const auto members = threeUpstreams();
    auto fixture = PoolFixture(members);
    auto report = makeReport(1, 0, {LowestLevel});
    report.pathFloors.push_back({Path, ClosedLevel});
    for (const auto &it : members)
        fixture.pool.didReceiveReport(it.node, report, fixture.now);
    auto request = RouteRequest();
    request.level = levelOf(2);
    request.deadline = fixture.now + Millisecond * 1000;
    request.mayProbe = false;
    request.path = Path;
    const auto decision = fixture.pool.choose(request, fixture.now, fixture.random);
    cr_assert(!decision.node);
    cr_assert_eq(decision.refusal, Reason::NoUpstream);
    request.path = Path + 1;
    cr_assert(fixture.pool.choose(request, fixture.now, fixture.random).node);
}
