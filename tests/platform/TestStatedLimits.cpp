#include "StatedLimitsBench.h"

/// What a backend server states in its answers binds all hosts: its rate limit and its leaving.
using namespace stairspur;

Test(StatedRateLimit, aBackendServerGetsNoMoreRequestsThanItStates)
{
    static constexpr auto Rate = 20.0;
    auto bench = StatedLimitsBench();
    auto &server = bench.addServer();
    server.stated.rateLimit = "20";
    bench.drive(std::chrono::milliseconds(1'500), 200);
    const auto first = server.arrivals.front();
    const auto n = server.arrivalsWithin(first + 250ms, first + 1'250ms);
    cr_expect_leq(static_cast<double>(n), 1.5 * Rate + 5, "%zu requests in a second", n);
}

Test(StatedLeaving, aLeavingBackendServerGetsNoMoreRequests)
{
    auto bench = StatedLimitsBench();
    auto &leaving = bench.addServer();
    leaving.stated.isLeaving = true;
    bench.addServer();
    bench.drive(200ms, 100);
    const auto told = leaving.arrivals.front() + 100ms;
    const auto n = leaving.arrivalsWithin(told, TimePoint::max());
    cr_expect_eq(n, 0, "%zu requests after the statement", n);
    cr_expect_eq(bench.answersOf(200), bench.path().responses.size());
}
