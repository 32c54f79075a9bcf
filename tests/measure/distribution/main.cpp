#include <algorithm>
#include <cstdio>
#include <string>

#include <gflags/gflags.h>

#include "../../distribution/FakeCluster.h"

DEFINE_int32(changes, 60, "changes of the configuration in each row");
DEFINE_int32(services, 520, "services in the configuration");

using namespace stairspur;
using namespace stairspur::distribution;
using namespace std::chrono_literals;

/// Interval of 60,000 changes a day.
static constexpr auto ChangeInterval = Duration{1'440'000};
/// Overhead of IP and UDP headers and the channel's topic, sender and HMAC on each datagram, and of a frame on a kept link.
static constexpr auto DatagramOverhead = 28U + 64U;
static constexpr auto RequestOverhead = 52U + 32U;

static auto sectionsOf(int change) -> config::Sections
{
    static constexpr auto SectionBytes = 250;
    auto sections = config::Sections();
    for (auto index = 0; index < FLAGS_services; ++index)
        sections["service/name-of-a-service-" + std::to_string(index)] =
                std::string(SectionBytes, 'x') + std::to_string(index);
    const auto touched = change % FLAGS_services;
    sections["service/name-of-a-service-" + std::to_string(touched)] =
            std::string(SectionBytes, 'y') + std::to_string(change);
    return sections;
}

struct Row
{
    int domains;
    int perDomain;
    double loss;
    std::uint32_t fanout;
    bool hasDigests;
};

struct Spread
{
    Duration worst{0};
    Duration sum{0};
    int uncovered = 0;
};

using Cluster = FakeCluster<DistributionPolicy>;

static auto totalBytes(const Cluster &cluster) -> std::uint64_t
{
    auto sum = std::uint64_t{0};
    for (const auto &[id, node] : cluster.nodes) {
        const auto &counters = node.state->counters();
        sum += counters.datagramBytesSent + counters.datagramsSent * DatagramOverhead;
        sum += counters.requestBytesSent + counters.requestBytesReceived;
        sum += 2 * counters.requestsSent * RequestOverhead;
    }
    return sum;
}

/// Applies one change after the other and records the time that each takes to reach every node.
static auto spreadChanges(Cluster &cluster) -> Spread
{
    auto spread = Spread();
    for (auto change = 1; change <= FLAGS_changes; ++change) {
        const auto start = cluster.now;
        cluster.apply(sectionsOf(change), "apply-" + std::to_string(change));
        spread.uncovered += cluster.runUntilCovered(5s) ? 0 : 1;
        const auto took = cluster.now - start;
        spread.worst = std::max(spread.worst, took);
        spread.sum += took;
        if (took < ChangeInterval)
            cluster.run(ChangeInterval - took);
    }
    return spread;
}

static auto measure(const Row &row) -> void
{
    auto cluster = Cluster(row.domains, row.perDomain, 1);
    cluster.settings.fanout = row.fanout;
    for (const auto &[id, node] : cluster.nodes)
        cluster.start(id);
    cluster.shareView();
    cluster.apply(sectionsOf(0), "first");
    cluster.runUntilCovered(30s);
    cluster.lossShare = row.loss;
    cluster.hasDigests = row.hasDigests;
    const auto bytesBefore = totalBytes(cluster);
    const auto readsBefore = cluster.storeReads;
    const auto start = cluster.now;
    const auto spread = spreadChanges(cluster);
    const auto seconds = std::chrono::duration<double>(cluster.now - start).count();
    const auto bytes = static_cast<double>(totalBytes(cluster) - bytesBefore);
    const auto nodes = static_cast<double>(cluster.nodes.size());
    std::printf("%7zu %7d %5.2f %6u %7s %9lld %9lld %9d %14.0f %11.2f\n", cluster.nodes.size(),
                row.domains, row.loss, row.fanout, row.hasDigests ? "yes" : "no",
                toMilliseconds(spread.sum / FLAGS_changes), toMilliseconds(spread.worst),
                spread.uncovered, bytes / nodes / seconds,
                static_cast<double>(cluster.storeReads - readsBefore) / FLAGS_changes);
}

/// Prints the store calls of one change and the sizes of the store's values.
static auto measurePublishing() -> void
{
    auto store = FakeStore();
    auto calls = 0;
    for (auto change = 0; change <= FLAGS_changes; ++change) {
        auto protocol = PublishProtocol<>({.sections = sectionsOf(change),
                                           .applyId = "apply-" + std::to_string(change),
                                           .appliedBy = "operator"});
        for (calls = 0; !protocol.isDone(); ++calls) {
            const auto request = protocol.next();
            if (const auto *range = std::get_if<store::RangeRequest>(&request))
                protocol.didReceiveRange(store.range(*range));
            else
                protocol.didReceiveTxn(store.txn(std::get<store::Transaction>(request)));
        }
        if (change == 0)
            std::printf("first apply of %d services: %d store calls\n", FLAGS_services, calls);
    }
    auto largest = std::size_t{0};
    auto sum = std::size_t{0};
    for (const auto &[key, pair] : store.pairs) {
        largest = std::max(largest, pair.value.size());
        sum += pair.value.size();
    }
    std::printf("a change of two services: %d store calls, the last of them the write\n", calls);
    std::printf(
            "after %d changes: head %zu bytes, largest value %zu bytes, %zu values, %zu bytes\n",
            FLAGS_changes, store.pairs.at(std::string(HeadKey)).value.size(), largest,
            store.pairs.size(), sum);
}

/// Measures the time in which a change reaches every node, and its bytes and reads, on a virtual clock with a fake network of
/// 0.5 to 2 ms latency.
auto main(int argc, char **argv) -> int
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measurePublishing();
    std::printf("  nodes domains  loss fanout digests   mean_ms  worst_ms uncovered "
                "sent_B/node/s reads/change\n");
    static constexpr Row Rows[] = {
            {1, 25, 0, 2, true},    {1, 50, 0, 2, true},    {1, 100, 0, 2, true},
            {1, 200, 0, 2, true},   {1, 400, 0, 2, true},   {4, 50, 0, 2, true},
            {1, 200, 0, 1, true},   {1, 200, 0, 3, true},   {1, 200, 0, 2, false},
            {1, 200, 0.1, 2, true}, {1, 200, 0.3, 2, true}, {4, 50, 0.1, 2, true},
    };
    for (const auto &it : Rows)
        measure(it);
    return 0;
}
