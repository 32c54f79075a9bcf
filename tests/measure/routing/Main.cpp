// Measures the choice of an upstream: evenness against simpler ways in virtual time, what refused calls cost, the time
// of a choice and the memory of an upstream. Prints Markdown tables.

#include <malloc.h>

#include <chrono>
#include <cstdio>

#include "Simulation.h"

using namespace stairspur;
using namespace stairspur::routing;

static constexpr auto Seeds = 3;

static auto printWay(const char *name, Way way, Duration halfLife,
                     const std::vector<std::uint32_t> &limits, double utilisation) -> void
{
    auto sum = SimulationResult();
    for (auto seed = 1; seed <= Seeds; ++seed) {
        auto settings = SimulationSettings();
        settings.way = way;
        settings.halfLife = halfLife;
        settings.limits = limits;
        settings.utilisation = utilisation;
        const auto result = Simulation(settings, seed).run();
        sum.maxToMean += result.maxToMean / Seeds;
        sum.meanWaitMs += result.meanWaitMs / Seeds;
        sum.p99WaitMs += result.p99WaitMs / Seeds;
    }
    std::printf("| %s | %.2f | %.3f | %.2f |\n", name, sum.maxToMean, sum.meanWaitMs,
                sum.p99WaitMs);
}

static auto printEvenness(const char *title, const std::vector<std::uint32_t> &limits,
                          double utilisation) -> void
{
    std::printf("\n%s, utilisation %.0f %%, 12 entries, %d seeds of 12 s.\n\n", title,
                100 * utilisation, Seeds);
    std::printf("| way | max / mean load | mean wait (ms) | p99 wait (ms) |\n"
                "| --- | --- | --- | --- |\n");
    const auto usual = Duration{500'000};
    printWay("random", Way::Random, usual, limits, utilisation);
    printWay("round robin", Way::RoundRobin, usual, limits, utilisation);
    printWay("least by last report", Way::LeastReported, usual, limits, utilisation);
    printWay("stairspur, half-life 50 ms", Way::Pool, Duration{50'000}, limits, utilisation);
    printWay("stairspur, half-life 500 ms", Way::Pool, usual, limits, utilisation);
    printWay("stairspur, reports never age", Way::Pool, Duration{1'000'000'000'000}, limits,
             utilisation);
}

static auto makePool(std::size_t upstreams, const std::string &service = "menu") -> UpstreamPool
{
    auto members = std::vector<Upstream>();
    for (std::size_t it = 0; it < upstreams; ++it)
        members.push_back({"192.0.2." + std::to_string(it) + ":7100",
                           "domain-" + std::to_string(it % 3), 1, 100, false});
    auto settings = RoutingSettings{};
    settings.ownNode = "192.0.2.1:7100";
    settings.ownDomain = "domain-1";
    auto pool = UpstreamPool(service, settings);
    pool.setUpstreams(members, TimePoint{});
    return pool;
}

/// Sends of calls that every gate refuses, at a steady rate and a round trip of 2 ms.
static auto printRefusedCalls(std::size_t upstreams, double perSecond) -> void
{
    std::printf("| %zu | %.0f |", upstreams, perSecond);
    for (const auto rank : {0, 3, 9}) {
        auto pool = makePool(upstreams);
        auto random = Random(1);
        auto sends = 0;
        constexpr auto Calls = 5000;
        const auto level = makeLevel(static_cast<ClassRank>(rank), 5);
        for (auto n = 0; n < Calls; ++n) {
            auto now = TimePoint{Duration{static_cast<std::int64_t>(1e6 * n / perSecond)}};
            auto excluded = std::vector<NodeId>();
            while (const auto node = pool.choose({level, now + Duration{1'000'000}, excluded, true},
                                                 now, random)
                                             .node) {
                ++sends;
                pool.didSend(*node, now);
                now += Duration{2'000};
                pool.didEnd(
                        {*node, Outcome::NotRun, Reason::BelowFloor, Duration{2'000}, {}, level},
                        now, random);
                excluded.push_back(*node);
            }
        }
        std::printf(" %.2f |", static_cast<double>(sends) / Calls);
    }
    std::printf("\n");
}

static auto printCost(std::size_t upstreams) -> void
{
    auto pool = makePool(upstreams);
    auto random = Random(1);
    constexpr auto Calls = 50'000;
    const auto began = std::chrono::steady_clock::now();
    for (auto n = 0; n < Calls; ++n) {
        const auto now = TimePoint{Duration{10'000'000 + n}};
        const auto node =
                pool.choose({makeLevel(0, 0), now + Duration{1'000'000}, {}, true}, now, random)
                        .node.value();
        pool.didSend(node, now);
        pool.didEnd({node, Outcome::Answered, Reason::None, Duration{1'000},
                     admission::LoadReport{static_cast<std::uint64_t>(n) + 1, 100, 5, 0,
                                           Duration{0}, false, std::vector<Level>(4)},
                     makeLevel(0, 0)},
                    now, random);
    }
    const auto took =
            std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - began);
    std::printf("| %zu | %.2f |\n", upstreams, took.count() / Calls / 1000);
}

static auto printMemory() -> void
{
    constexpr auto Pools = 20;
    constexpr auto Upstreams = 200;
    auto pools = std::vector<UpstreamPool>();
    pools.reserve(Pools);
    const auto before = mallinfo2().uordblks;
    for (auto n = 0; n < Pools; ++n) {
        auto pool = makePool(Upstreams, "service-" + std::to_string(n));
        for (auto it = 0; it < Upstreams; ++it)
            pool.didReceiveReport("192.0.2." + std::to_string(it) + ":7100",
                                  {1, 100, 5, 0, Duration{0}, false, std::vector<Level>(8)},
                                  TimePoint{});
        pools.push_back(std::move(pool));
    }
    const auto bytes = mallinfo2().uordblks - before;
    std::printf("\nMemory of an upstream with a report of 8 floors: %.0f bytes (%d pools of %d).\n",
                static_cast<double>(bytes) / (Pools * Upstreams), Pools, Upstreams);
}

auto main() -> int
{
    printEvenness("12 upstreams of 10", std::vector<std::uint32_t>(12, 10), 0.8);
    printEvenness("12 upstreams of 10", std::vector<std::uint32_t>(12, 10), 0.95);
    auto uneven = std::vector<std::uint32_t>(12, 10);
    uneven[0] = uneven[1] = uneven[2] = 4;
    printEvenness("9 upstreams of 10, 3 of 4", uneven, 0.8);
    std::printf("\nSends for each call that all gates refuse.\n\n"
                "| upstreams | calls/s at the entry | rank 0 | rank 3 | rank 9 |\n"
                "| --- | --- | --- | --- | --- |\n");
    for (const auto upstreams : {5, 27, 100}) {
        printRefusedCalls(upstreams, 100);
        printRefusedCalls(upstreams, 1000);
    }
    std::printf("\n| upstreams | choose + didSend + didEnd (us) |\n| --- | --- |\n");
    for (const auto upstreams : {5, 27, 600})
        printCost(upstreams);
    printMemory();
    return 0;
}
