#include "DistributionScenarios.h"

// This header is included after Boost, because its macros break Boost's headers.
#include <criterion/criterion.h>

/// Tests of the time limit for bringing a version into force, under faults of the platform's store, of relays and of links.
using namespace stairspur;
using namespace stairspur::distribution;

/// Time limit from an acknowledged write until every reachable host has the version in force, on the platform's smallest
/// deployments.
static constexpr auto SmallFleetBound = Duration{2s};
/// The same limit for 14,000 hosts in 13 failure domains.
static constexpr auto LargeFleetBound = Duration{5s};

static constexpr auto BoundSeeds = {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U, 9U, 10U};

using Cluster = FakeCluster<DistributionPolicy>;

/// Runs the nodes for a while with one version in force.
static auto settle(Cluster &cluster, const std::string &name, Violations &found) -> void
{
    startUp(cluster, name, found);
    cluster.run(7s);
}

/// Runs one scenario for each seed on nodes that have settled.
template <typename Run>
static auto overSeeds(const std::string &name, int domains, int perDomain, Run run) -> Violations
{
    auto found = Violations();
    for (const auto seed : BoundSeeds) {
        auto cluster = Cluster(domains, perDomain, seed);
        settle(cluster, name, found);
        run(cluster, found);
    }
    return found;
}

static auto relaysIn(const Cluster &cluster, const std::string &domain) -> std::vector<NodeId>
{
    auto relays = std::vector<NodeId>();
    for (const auto &[id, node] : cluster.nodes) {
        if (node.domain == domain && node.state->isRelay())
            relays.push_back(id);
    }
    return relays;
}

/// The watches are silent for a second while a version is written. Then the store cuts them and has lost their history.
static auto loseHistory(Cluster &cluster, int mark, Violations &found) -> void
{
    cluster.isWatchSilent = true;
    applyNext(cluster, mark);
    cluster.run(1s);
    cluster.isWatchSilent = false;
    cluster.cutWatches(true);
    check(cluster, SmallFleetBound - 1s, "version of the silence", found);
}

static auto runLostHistory() -> Violations
{
    return overSeeds("lost history", 3, 5, [](Cluster &cluster, Violations &found) {
        for (auto round = 0; round < 6; ++round) {
            loseHistory(cluster, 2 * round + 1, found);
            cluster.run(round * 900ms);
            applyNext(cluster, 2 * round + 2);
            check(cluster, SmallFleetBound, "version after a cut", found);
            cluster.run(11s);
        }
    });
}

Test(DistributionBound, aVersionIsInForceInTimeAfterWatchesLostTheirHistory)
{
    const auto found = runLostHistory();
    cr_expect(found.empty(), "%zu violations, first: %s", found.size(),
              found.empty() ? "" : found[0].c_str());
}

/// All watches become silent without being cut, and stay silent while versions are written.
static auto runSilentWatches() -> Violations
{
    return overSeeds("silent watches", 3, 5, [](Cluster &cluster, Violations &found) {
        cluster.silenceWatches();
        for (auto mark = 1; mark <= 6; ++mark) {
            cluster.run(mark * 300ms);
            applyNext(cluster, mark);
            check(cluster, SmallFleetBound, "silent watches", found);
        }
    });
}

/// The store is unreachable for 40 s, and a version is written a second after it is reachable again.
static auto runStoreReturned() -> Violations
{
    return overSeeds("store returned", 3, 5, [](Cluster &cluster, Violations &found) {
        cluster.isStoreDown = true;
        cluster.cutWatches(false);
        cluster.run(40s);
        cluster.isStoreDown = false;
        cluster.run(1s);
        applyNext(cluster, 1);
        check(cluster, SmallFleetBound, "store returned", found);
    });
}

/// All relays of the only domain have crashed, and other nodes have just become relays.
static auto runNewRelays() -> Violations
{
    return overSeeds("new relays", 1, 8, [](Cluster &cluster, Violations &found) {
        cluster.run(30s);
        for (const auto &it : relaysIn(cluster, "d0"))
            cluster.kill(it);
        cluster.shareView();
        applyNext(cluster, 1);
        check(cluster, SmallFleetBound, "new relays", found);
    });
}

/// All relays of a domain have stopped, and membership has not detected it yet.
static auto runRelaysStopped() -> Violations
{
    return overSeeds("relays stopped", 3, 5, [](Cluster &cluster, Violations &found) {
        for (const auto &it : relaysIn(cluster, "d0"))
            cluster.kill(it);
        applyNext(cluster, 1);
        check(cluster, SmallFleetBound, "relays stopped", found);
    });
}

/// The relays of a domain cannot reach the store.
static auto runRelaysWithoutStore() -> Violations
{
    return overSeeds("relays without store", 3, 5, [](Cluster &cluster, Violations &found) {
        for (const auto &it : relaysIn(cluster, "d0"))
            cluster.nodes[it].mayReachStore = false;
        for (auto mark = 1; mark <= 4; ++mark) {
            applyNext(cluster, mark);
            check(cluster, SmallFleetBound, "relays without store", found);
            cluster.run(mark * 700ms);
        }
    });
}

/// A host receives messages but its own are lost, so that its requests fail for half a minute. A version is written a second
/// after that.
static auto runHealedCut() -> Violations
{
    return overSeeds("ended cut", 3, 5, [](Cluster &cluster, Violations &found) {
        const auto id = cluster.nodes.begin()->first;
        cluster.nodes[id].mayReachStore = false;
        cluster.isCut = [id](const auto &from, const auto &) { return from == id; };
        applyNext(cluster, 1);
        cluster.run(30s);
        cluster.isCut = [](const auto &, const auto &) { return false; };
        cluster.run(1s);
        applyNext(cluster, 2);
        check(cluster, SmallFleetBound, "ended cut", found);
    });
}

/// Only one of 13 domains reaches the store.
static auto runOneDomainHasStore() -> Violations
{
    return overSeeds("one domain has the store", 13, 6, [](Cluster &cluster, Violations &found) {
        for (auto &[id, node] : cluster.nodes)
            node.mayReachStore = node.domain == "d0";
        for (auto mark = 1; mark <= 4; ++mark) {
            applyNext(cluster, mark);
            check(cluster, LargeFleetBound, "one domain has the store", found);
        }
    });
}

/// Time after a disturbance of its connections from which the limit applies to a host again (`stable_s` of the smallest
/// deployments).
static constexpr auto StableAfter = Duration{3s};

/// All connections become silent before a version is written. Depending on `bytes`, the size of a section, one section fits
/// into a datagram or none does.
static auto runSilentConnections(std::size_t bytes) -> Violations
{
    return overSeeds("silent connections", 3, 5, [bytes](Cluster &cluster, Violations &found) {
        for (auto round = 0; round < 10; ++round) {
            cluster.run(11s);
            cluster.silenceConnections();
            const auto stableAt = cluster.now + StableAfter;
            cluster.run(round * 300ms);
            auto sections = sectionsOf(0);
            for (auto &[name, text] : sections)
                text = std::string(bytes, static_cast<char>('a' + round));
            cluster.apply(sections, "apply-" + std::to_string(round));
            const auto bound = std::max(cluster.now + SmallFleetBound, stableAt);
            check(cluster, bound - cluster.now, "silent connections", found);
        }
    });
}

Test(DistributionBound, aVersionIsInForceInTimeAfterAllConnectionsFellSilent)
{
    for (const auto bytes : {std::size_t{20}, std::size_t{2000}}) {
        const auto found = runSilentConnections(bytes);
        cr_expect(found.empty(), "sections of %zu bytes: %zu violations, first: %s", bytes,
                  found.size(), found.empty() ? "" : found[0].c_str());
    }
}

struct BoundScenario
{
    const char *name;
    Violations (*run)();
};

static constexpr BoundScenario BoundScenarios[] = {
        {"silent watches", runSilentWatches},
        {"store returned", runStoreReturned},
        {"new relays", runNewRelays},
        {"relays stopped", runRelaysStopped},
        {"relays without store", runRelaysWithoutStore},
        {"ended cut", runHealedCut},
        {"one domain has the store", runOneDomainHasStore},
};

Test(DistributionBound, aVersionIsInForceInTimeUnderEveryOtherFault)
{
    for (const auto &it : BoundScenarios) {
        const auto found = it.run();
        cr_expect(found.empty(), "%s: %zu violations, first: %s", it.name, found.size(),
                  found.empty() ? "" : found[0].c_str());
    }
}
