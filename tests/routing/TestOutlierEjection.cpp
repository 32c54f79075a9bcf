#include <criterion/criterion.h>

#include <set>

#include "../../source/routing/OutlierEjection.h"
#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

Test(OutlierEjection, itsBoundIsAShareRoundedDownAndNeverAll)
{
    struct
    {
        std::size_t upstreams;
        double share;
        std::size_t maxEjected;
    } cases[] = {{0, 1.0, 0},  {1, 1.0, 0},  {2, 0.34, 0},  {2, 1.0, 1},   {3, 0.34, 1},
                 {5, 0.34, 1}, {6, 0.34, 2}, {10, 0.34, 3}, {10, -1.0, 0}, {10, 7.0, 9}};
    for (const auto &it : cases)
        cr_assert_eq(OutlierEjection::maxEjected(it.upstreams, it.share), it.maxEjected);
}

Test(OutlierEjection, itsLengthDoublesUpToABoundAndIsResetAfterALongTimeWithoutEjection)
{
    auto ejection = OutlierEjection();
    const auto base = Duration{1'000'000};
    auto now = Start;
    for (const auto factor : {1, 2, 4, 8, 16, 32, 32, 32}) {
        ejection.eject(now, base);
        cr_assert_eq((ejection.until() - now) / base, factor);
        now = ejection.until();
    }
    now += base * 65;
    ejection.eject(now, base);
    cr_assert_eq(ejection.until() - now, base);
}

/// Returns the upstreams that none of 200 choices selects.
static auto neverChosen(PoolFixture &fixture, const std::vector<Upstream> &members)
        -> std::set<NodeId>
{
    auto nodes = std::set<NodeId>();
    for (const auto &it : members)
        nodes.insert(it.node);
    for (auto n = 0; n < 200; ++n)
        nodes.erase(fixture.choose(levelOf(1)).node.value());
    return nodes;
}

Test(OutlierEjection, onlyFaultsEject)
{
    struct
    {
        Outcome outcome;
        Reason reason;
        bool isEjected;
    } cases[] = {
            {Outcome::Unknown, Reason::LinkLost, true},
            {Outcome::NotRun, Reason::LinkLost, true},
            {Outcome::Unknown, Reason::DeadlineExceeded, true},
            {Outcome::Failed, Reason::BackendFailed, true},
            {Outcome::Unknown, Reason::DamagedAnswer, true},
            {Outcome::NotRun, Reason::BelowFloor, false},
            {Outcome::NotRun, Reason::QueueFull, false},
            {Outcome::NotRun, Reason::BackendShed, false},
            {Outcome::Unknown, Reason::Cancelled, false},
            {Outcome::Answered, Reason::None, false},
    };
    for (const auto &it : cases) {
        const auto members = makeUpstreams("own", 4);
        auto fixture = PoolFixture(members);
        for (auto n = 0; n < 5; ++n)
            fixture.attempt("own2", it.outcome, it.reason);
        const auto isEjected = neverChosen(fixture, members).contains("own2");
        cr_assert_eq(isEjected, it.isEjected, "%s", nameOf(it.reason).data());
        fixture.now += fixture.settings.ejectionBase * 40;
        cr_assert(neverChosen(fixture, members).empty(), "it is chosen again after the ejection");
    }
}

Test(OutlierEjection, theMaxShareIsEjectedWhenAllFail)
{
    for (const auto n : {1U, 2U, 3U, 6U, 12U}) {
        const auto members = makeUpstreams("own", n);
        auto fixture = PoolFixture(members);
        for (auto round = 0; round < 30; ++round) {
            for (const auto &it : members)
                fixture.attempt(it.node, Outcome::Unknown, Reason::LinkLost);
        }
        const auto ejected = neverChosen(fixture, members);
        cr_assert_eq(ejected.size(), OutlierEjection::maxEjected(n, 0.34), "pool of %u", n);
    }
}

Test(OutlierEjection, aFastFailingUpstreamOfTwoDoesNotLookIdle)
{
    auto fixture = PoolFixture(makeUpstreams("own", 2));
    for (auto n = 0; n < 10; ++n) {
        fixture.attempt("own0", Outcome::NotRun, Reason::LinkLost);
        fixture.attempt("own1", Outcome::Answered);
        fixture.pool.didSend("own1", fixture.now); // Keeps the upstream without failures busier.
    }
    for (auto n = 0; n < 100; ++n)
        cr_assert_eq(fixture.choose(levelOf(1)).node, "own1");
}
