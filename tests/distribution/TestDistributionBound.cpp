#include "DistributionScenarios.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// How late a version may be in force, under the faults of the platform's store, of relays and of links.
using namespace stairspur;
using namespace stairspur::distribution;

/// From an acknowledged write to every host that can be reached: what the platform's smallest deployments promise.
static constexpr auto SmallFleetBound = Duration{2s};
/// The same for 14,000 hosts in 13 failure domains.
static constexpr auto LargeFleetBound = Duration{5s};

static constexpr auto BoundSeeds = {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U, 9U, 10U};

using Cluster = FakeCluster<DistributionPolicy>;

/// Nodes that have been up for a while, with one version in force.
static auto settle(Cluster &cluster, const std::string &name, Violations &found) -> void
{
    startUp(cluster, name, found);
    cluster.run(7s);
}

/// Plays one scenario for each seed, on nodes that have settled.
template <typename Play>
static auto overSeeds(const std::string &name, int domains, int perDomain, Play play) -> Violations
{
    auto found = Violations();
    for (const auto seed : BoundSeeds) {
        auto cluster = Cluster(domains, perDomain, seed);
        settle(cluster, name, found);
        play(cluster, found);
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

/// The store says nothing for a second while a version is written, then cuts all watches and has no history for them.
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

/// All watches fall silent for good without being cut, and stay so while versions are written.
static auto runDeafWatches() -> Violations
{
    return overSeeds("deaf watches", 3, 5, [](Cluster &cluster, Violations &found) {
        cluster.silenceWatches();
        for (auto mark = 1; mark <= 6; ++mark) {
            cluster.run(mark * 300ms);
            applyNext(cluster, mark);
            check(cluster, SmallFleetBound, "deaf watches", found);
        }
    });
}

/// The store has been away for 40 s, and a version is written a second after its return.
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

/// All relays of the only domain are gone, others have just taken their place.
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

/// All relays of a domain have stopped, and nobody has noticed yet.
static auto runRelaysStopped() -> Violations
{
    return overSeeds("relays stopped", 3, 5, [](Cluster &cluster, Violations &found) {
        for (const auto &it : relaysIn(cluster, "d0"))
            cluster.kill(it);
        applyNext(cluster, 1);
        check(cluster, SmallFleetBound, "relays stopped", found);
    });
}

/// The relays of a domain can't reach the store.
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

/// A host hears others but is not heard: it asks in vain for half a minute. A version is written a second after that.
static auto runHealedCut() -> Violations
{
    return overSeeds("healed cut", 3, 5, [](Cluster &cluster, Violations &found) {
        const auto id = cluster.nodes.begin()->first;
        cluster.nodes[id].mayReachStore = false;
        cluster.isCut = [id](const auto &from, const auto &) { return from == id; };
        applyNext(cluster, 1);
        cluster.run(30s);
        cluster.isCut = [](const auto &, const auto &) { return false; };
        cluster.run(1s);
        applyNext(cluster, 2);
        check(cluster, SmallFleetBound, "healed cut", found);
    });
}

/// Of 13 domains one alone has the store.
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

/// Whose connections were disturbed is held to the bound again after this time (`stable_s` of the smallest deployments).
static constexpr auto CalmAfter = Duration{3s};

/// Sections of `bytes` each: one of them fits into a datagram, or none does.
static auto runSilentConnections(std::size_t bytes) -> Violations
{
    return overSeeds("silent connections", 3, 5, [bytes](Cluster &cluster, Violations &found) {
        for (auto round = 0; round < 10; ++round) {
            cluster.run(11s);
            cluster.silenceConnections();
            const auto calm = cluster.now + CalmAfter;
            cluster.run(round * 300ms);
            auto sections = sectionsOf(0);
            for (auto &[name, text] : sections)
                text = std::string(bytes, static_cast<char>('a' + round));
            cluster.apply(sections, "apply-" + std::to_string(round));
            const auto bound = std::max(cluster.now + SmallFleetBound, calm);
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
        {"deaf watches", runDeafWatches},
        {"store returned", runStoreReturned},
        {"new relays", runNewRelays},
        {"relays stopped", runRelaysStopped},
        {"relays without store", runRelaysWithoutStore},
        {"healed cut", runHealedCut},
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
