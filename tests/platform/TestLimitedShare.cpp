#include "ProcessFleet.h"
#include "StatedLimitsBench.h"

/// A limited backend server beside others with room gets what it may take, no less and no more.
using namespace stairspur;

struct LimitedCase
{
    const char *text;
    double rate;
    std::uint32_t perSecond; ///< Calls to all three servers together.
};

static constexpr LimitedCase Cases[] = {{"3", 3, 150},       {"12.3", 12.3, 30},
                                        {"12.3", 12.3, 150}, {"12.3", 12.3, 600},
                                        {"100", 100, 150},   {"0.2", 0.2, 150}};

/// The share from the second second on. The first tokens, saved up for a tenth of a second or three, belong to no second.
static auto expectShare(const StatedLimitsBench::Server &server, const LimitedCase &it,
                        TimePoint from, TimePoint to) -> void
{
    const auto seconds = std::chrono::duration<double>(to - from).count();
    const auto fairShare = it.perSecond / 3.0;
    const auto n = static_cast<double>(server.arrivalsWithin(from, to));
    cr_expect_geq(n, 0.7 * std::min(it.rate, fairShare) * seconds - 1,
                  "rate %s of %u: %.0f in %.1f s", it.text, it.perSecond, n, seconds);
    cr_expect_leq(n, it.rate * seconds + std::max(3.0, it.rate / 10),
                  "rate %s of %u: %.0f in %.1f s", it.text, it.perSecond, n, seconds);
}

Test(LimitedShare, aLimitedServerIsAskedWhileOthersHaveRoom)
{
    for (const auto &it : Cases) {
        auto bench = StatedLimitsBench();
        auto &limited = bench.addServer();
        limited.stated.rateLimit = it.text;
        for (auto *server : {&limited, &bench.addServer(), &bench.addServer()})
            server->serviceTime = 30ms;
        bench.drive(4'000ms, it.perSecond);
        const auto first = limited.arrivals.front();
        expectShare(limited, it, first + 1s, first + 3'900ms);
        cr_expect_eq(bench.answersOf(200), bench.path().responses.size(), "requests were lost");
    }
}

Test(LimitedShare, itsFullShareIsBackAfterTheStatementHasEnded)
{
    auto bench = StatedLimitsBench();
    auto &limited = bench.addServer();
    limited.stated.rateLimit = "12.3";
    for (auto *server : {&limited, &bench.addServer(), &bench.addServer()})
        server->serviceTime = 30ms;
    bench.drive(2'000ms, 150);
    limited.stated.rateLimit.clear();
    bench.drive(5'000ms, 150);
    const auto end = monotonicNow();
    bench.drive(2'000ms, 150);
    cr_expect_geq(limited.arrivalsWithin(end, end + 2s), 0.7 * 50 * 2);
    cr_expect_eq(bench.answersOf(200), bench.path().responses.size(), "requests were lost");
}

Test(LimitedShare, whereAllAreLimitedTheRatesAreUsedAndTheImportantClassIsServed)
{
    static constexpr auto Rate = 20.0;
    auto bench = StatedLimitsBench();
    auto servers = std::vector<StatedLimitsBench::Server *>();
    for (auto n = 0; n < 3; ++n) {
        servers.push_back(&bench.addServer());
        servers.back()->stated.rateLimit = "20";
        servers.back()->serviceTime = 30ms;
    }
    bench.drive(1'000ms, 120);
    const auto start = monotonicNow();
    auto orders = std::vector<std::size_t>();
    // Twenty orders a second among 120 views, where sixty calls a second are taken in all.
    for (auto n = 0; n < 80; ++n) {
        orders.push_back(bench.send("/o/1"));
        bench.drive(50ms, 120);
    }
    const auto seconds = std::chrono::duration<double>(monotonicNow() - start).count();
    auto arrivals = 0.0;
    for (const auto *it : servers) {
        const auto n = static_cast<double>(it->arrivalsWithin(start, TimePoint::max()));
        cr_expect_leq(n, Rate * seconds + 3, "%.0f in %.1f s", n, seconds);
        arrivals += n;
    }
    cr_expect_geq(arrivals, 0.95 * 3 * Rate * seconds, "%.0f in %.1f s", arrivals, seconds);
    const auto isServed = [&](auto it) { return bench.path().responses[it].status == 200; };
    const auto served = std::ranges::count_if(orders, isServed);
    cr_expect_geq(served, 0.99 * 80, "%td of 80 orders", served);
}

Test(LimitedShare, holdsBetweenNodesThatAreProcesses)
{
    static constexpr auto Rate = 12;
    auto fleet = platform::ProcessFleet(89);
    auto &limited = *fleet.hosts[0].backends[0];
    const auto sendReady = [&] { platform::ProcessFleet::beat(fleet.hosts[0], limited, "ready"); };
    limited.server->stateRateLimit(Rate);
    fleet.drive(1s, sendReady);
    const auto atStart = limited.server->runs();
    cr_expect_eq(fleet.drive(4s, sendReady), 0, "requests were lost");
    const auto inFourSeconds = limited.server->runs() - atStart;
    cr_expect_geq(inFourSeconds, 0.7 * 4 * Rate, "%d", inFourSeconds);
    cr_expect_leq(inFourSeconds, 4 * Rate + 3, "%d", inFourSeconds);
    limited.server->stateRateLimit(0);
    fleet.drive(5s, sendReady);
    const auto atEnd = limited.server->runs();
    const auto before = fleet.hosts[1].backends[0]->server->runs();
    fleet.drive(2s, sendReady);
    const auto other = fleet.hosts[1].backends[0]->server->runs() - before;
    cr_expect_geq(limited.server->runs() - atEnd, 0.7 * other, "its share after the end");
}
