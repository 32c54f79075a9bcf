#include <criterion/criterion.h>

#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

/// A pool of two upstreams in the own failure domain and one elsewhere.
static auto threeUpstreams() -> std::vector<Upstream>
{
    auto members = makeUpstreams("own", 2);
    members.push_back(makeUpstreams("far", 1).front());
    return members;
}

static auto refuseAll(PoolFixture &fixture, const std::vector<Upstream> &members) -> void
{
    for (const auto &it : members)
        fixture.pool.didReport(it.node, makeReport(1, 0, {ClosedLevel}), fixture.now);
}

static auto chooseFor(PoolFixture &fixture, bool hasBegun, const std::vector<NodeId> &excluded = {})
        -> RouteDecision
{
    auto request = RouteRequest();
    request.level = levelOf(2);
    request.deadline = fixture.now + Millisecond * 1000;
    request.excluded = excluded;
    request.mayProbe = false;
    request.hasBegun = hasBegun;
    return fixture.pool.choose(request, fixture.now, fixture.random);
}

Test(Placing, floorsRefuseOnlyRequestsThatHaveNotBegun)
{
    const auto members = threeUpstreams();
    auto fixture = PoolFixture(members);
    refuseAll(fixture, members);
    cr_assert(!chooseFor(fixture, false).node);
    const auto decision = chooseFor(fixture, true);
    cr_assert(decision.node);
    cr_assert_eq(decision.choice, RouteReason::BegunWork);
}

Test(Placing, begunWorkIsNotSentTwiceToWhoRefusedIt)
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
