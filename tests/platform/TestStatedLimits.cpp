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

Test(StatedRateLimit, theOtherBackendServersTakeWhatItNoLongerTakes)
{
    auto bench = StatedLimitsBench();
    auto &limited = bench.addServer();
    limited.stated.rateLimit = "10";
    bench.addServer();
    bench.addServer();
    bench.drive(1'500ms, 200);
    const auto first = limited.arrivals.front();
    cr_expect_leq(limited.arrivalsWithin(first + 250ms, first + 1'250ms), 1.5 * 10 + 5);
    cr_expect_eq(bench.answersOf(200), bench.path().responses.size(), "requests were lost");
}

Test(StatedRateLimit, theMoreImportantClassIsServedWhereAllAreLimited)
{
    auto bench = StatedLimitsBench();
    bench.addServer().stated.rateLimit = "30";
    bench.addServer().stated.rateLimit = "30";
    bench.drive(500ms, 100);
    const auto first = bench.path().responses.size();
    auto orders = std::vector<std::size_t>();
    for (auto n = 0; n < 30; ++n) {
        orders.push_back(bench.send("/o/1"));
        bench.drive(33ms, 120);
    }
    const auto isServed = [&](auto it) { return bench.path().responses[it].status == 200; };
    cr_expect_geq(std::ranges::count_if(orders, isServed), 29);
    cr_expect_gt(bench.answersOf(503, first), 0);
    for (const auto &it : bench.path().responses) {
        const auto isRefused = it.status == 503;
        cr_expect(!isRefused || !it.headers.find("Retry-After").empty());
    }
}

Test(StatedRateLimit, holdsBesideARestartOfTheGate)
{
    auto bench = StatedLimitsBench();
    auto &limited = bench.addServer();
    limited.stated.rateLimit = "10";
    limited.serviceTime = 300ms;
    bench.drive(1'000ms, 200);
    bench.restartNode(limited);
    const auto restartedAt = monotonicNow();
    bench.drive(1'000ms, 200);
    const auto n = limited.arrivalsWithin(restartedAt, restartedAt + 1s);
    cr_expect_leq(n, 1.5 * 10 + 5, "%zu requests in the second after the restart", n);
}

Test(StatedRateLimit, endsWithTheStatement)
{
    auto bench = StatedLimitsBench();
    auto &limited = bench.addServer();
    limited.stated.rateLimit = "20";
    bench.drive(500ms, 200);
    limited.stated.rateLimit.clear();
    bench.drive(3'000ms, 200);
    const auto first = bench.path().responses.size();
    bench.drive(500ms, 200);
    const auto n = bench.path().responses.size() - first;
    cr_expect_geq(bench.answersOf(200, first), n * 9 / 10);
}

Test(StatedRateLimit, aNewProcessInstanceHasNone)
{
    auto bench = StatedLimitsBench();
    auto &limited = bench.addServer();
    limited.stated.rateLimit = "1";
    bench.drive(200ms, 100);
    limited.stated.rateLimit.clear();
    bench.announce(limited, "i-next");
    const auto first = bench.path().responses.size();
    bench.drive(1'000ms, 100);
    cr_expect_geq(bench.answersOf(200, first), 90);
}

Test(StatedRateLimit, anUnreadableRateIsNone)
{
    for (const auto *text : {"nan", "1e400", "-1", "12,3"}) {
        auto bench = StatedLimitsBench();
        bench.addServer().stated.rateLimit = text;
        bench.drive(200ms, 100);
        cr_expect_eq(bench.answersOf(200), bench.path().responses.size(), "%s", text);
    }
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

Test(StatedLeaving, holdsBesideARestartOfTheGateWhoseHeartbeatsSayOtherwise)
{
    auto bench = StatedLimitsBench();
    auto &leaving = bench.addServer();
    leaving.stated.isLeaving = true;
    bench.addServer();
    bench.drive(200ms, 100);
    for (auto n = 0; n < 3; ++n) {
        bench.restartNode(leaving);
        bench.drive(200ms, 100);
    }
    const auto told = leaving.arrivals.front() + 100ms;
    const auto n = leaving.arrivalsWithin(told, TimePoint::max());
    cr_expect_eq(n, 0, "%zu requests after the statement", n);
    cr_expect_eq(bench.answersOf(200), bench.path().responses.size());
}

Test(StatedLeaving, waitingCallsGoElsewhere)
{
    auto bench = StatedLimitsBench();
    auto &leaving = bench.addServer();
    leaving.serviceTime = 300ms;
    leaving.slots = 2;
    bench.announce(leaving, leaving.instance);
    for (auto n = 0; n < 4; ++n)
        bench.send();
    bench.path().io.run_for(100ms);
    bench.addServer();
    leaving.stated.isLeaving = true;
    cr_assert(bench.path().finish());
    cr_expect_eq(leaving.arrivals.size(), 2);
    cr_expect_eq(bench.answersOf(200), 4);
}

Test(StatedLeaving, whenAllLeaveCallersAreRefusedAtOnce)
{
    auto bench = StatedLimitsBench();
    bench.addServer().stated.isLeaving = true;
    bench.drive(100ms, 50);
    const auto before = monotonicNow();
    const auto index = bench.send("/o/1");
    cr_assert(bench.path().finish());
    cr_expect_lt((monotonicNow() - before).count(), Duration(100ms).count());
    const auto &response = bench.path().responses[index];
    cr_expect_eq(response.status, 503);
    cr_expect(!response.headers.find("Retry-After").empty());
}

Test(StatedLeaving, aNewProcessInstanceAtTheSameAddressServes)
{
    auto bench = StatedLimitsBench();
    auto &server = bench.addServer();
    server.stated.isLeaving = true;
    bench.drive(100ms, 50);
    server.stated.isLeaving = false;
    bench.announce(server, "i-next");
    auto first = std::size_t{0};
    // The entry sends a call once the report that the former instance drains has lapsed, after eight half-lives.
    bench.drive(4'500ms, 20);
    first = bench.path().responses.size();
    bench.drive(200ms, 50);
    cr_expect_eq(bench.answersOf(200, first), bench.path().responses.size() - first);
}
