// Measures the age of the proof of a configuration's freshness and its cost, for three ways of spreading it through one
// failure domain, on a virtual clock.
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "../../distribution/FreshnessFleet.h"

using namespace stairspur;
using namespace stairspur::distribution;

/// Interval at which one of the relays, each in turn, reads the store.
static constexpr auto ReadInterval = Duration{1'200'000};
/// Overhead of UDP, IP and the datagram's topic for each datagram.
static constexpr auto FrameBytes = 48.0;

struct Result
{
    double oldestSeconds = 0; ///< Age of the oldest proof of any host at any time.
    double maxBytes = 0;      ///< Largest number of bytes that any host sends in a second.
};

/// Measures the implemented way: proofs are pushed through a tree and count from the receiver's own request.
static auto measureTree(int hosts, double loss, bool isRelayPaused) -> Result
{
    auto fleet = FreshnessFleet<>(1, hosts, 1);
    fleet.cluster.lossShare = loss;
    if (isRelayPaused)
        fleet.cluster.pause(fleet.relaysIn("d0").front());
    fleet.run(std::chrono::seconds(6));
    fleet.oldest = Duration::zero();
    auto before = std::vector<double>();
    const auto sentBy = [](const auto &node) {
        const auto &counters = node.state->counters();
        return static_cast<double>(counters.datagramBytesSent)
               + FrameBytes * static_cast<double>(counters.datagramsSent);
    };
    for (const auto &[id, node] : fleet.cluster.nodes)
        before.push_back(sentBy(node));
    static constexpr auto Seconds = 30;
    fleet.run(std::chrono::seconds(Seconds));
    auto result = Result{std::chrono::duration<double>(fleet.oldest).count(), 0};
    auto index = std::size_t{0};
    for (const auto &[id, node] : fleet.cluster.nodes)
        result.maxBytes = std::max(result.maxBytes, (sentBy(node) - before[index++]) / Seconds);
    return result;
}

/// Measures gossip: each host queries a random other one once in a period, as membership's probes do, and adopts the newer
/// proof.
static auto measureGossip(int hosts, double loss, bool isRelayPaused, Duration period) -> Result
{
    static constexpr auto Step = Duration{10'000};
    auto random = Random(1);
    auto provenAt = std::vector<Duration>(hosts, Duration::zero());
    auto result = Result();
    auto nextRead = Duration::zero();
    auto reader = 0;
    for (auto now = Duration::zero(); now < Duration{60'000'000}; now += Step) {
        if (now >= nextRead) {
            nextRead += ReadInterval;
            reader = (reader + 1) % std::min(hosts, 3);
            if (!(isRelayPaused && reader == 0))
                provenAt[reader] = now;
        }
        for (auto host = 0; host < hosts; ++host) {
            const auto isDue = (now.count() + host * 7919) % period.count() < Step.count();
            if (!isDue || randomUnit(random) < loss)
                continue;
            const auto other = randomBelow(random, hosts);
            provenAt[host] = std::max(provenAt[host], provenAt[other]);
        }
        if (now < Duration{20'000'000})
            continue;
        for (auto host = isRelayPaused ? 1 : 0; host < hosts; ++host)
            result.oldestSeconds =
                    std::max(result.oldestSeconds,
                             std::chrono::duration<double>(now - provenAt[host]).count());
    }
    return result; // Its bytes are part of probes that are sent in any case.
}

/// Measures queries: each host queries one of the three relays once a second, so the age of its proof is the time since the
/// last read plus the time since the last query.
static auto measureQuerying(int hosts) -> Result
{
    static constexpr auto QueryBytes = 30.0;
    const auto asked = static_cast<double>(hosts) / 3;
    return {std::chrono::duration<double>(ReadInterval).count() + 1.0,
            asked * (FrameBytes + QueryBytes)};
}

auto main() -> int
{
    std::printf("| hosts | loss | a relay paused | tree, s | tree, B/s | gossip 0.5 s, s | gossip "
                "1 s, s | asking, s | asking, B/s |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto hosts : {15, 23, 68, 400, 1077}) {
        for (const auto loss : {0.0, 0.01, 0.1}) {
            for (const auto isPaused : {false, true}) {
                const auto tree = measureTree(hosts, loss, isPaused);
                const auto quick = measureGossip(hosts, loss, isPaused, Duration{500'000});
                const auto slow = measureGossip(hosts, loss, isPaused, Duration{1'000'000});
                const auto querying = measureQuerying(hosts);
                std::printf("| %d | %.2f | %s | %.2f | %.0f | %.2f | %.2f | %.2f | %.0f |\n", hosts,
                            loss, isPaused ? "yes" : "no", tree.oldestSeconds, tree.maxBytes,
                            quick.oldestSeconds, slow.oldestSeconds, querying.oldestSeconds,
                            querying.maxBytes);
                std::fflush(stdout);
            }
        }
    }
    return EXIT_SUCCESS;
}
