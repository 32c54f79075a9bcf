#include "DistributionScenarios.h"

// This header is included after Boost, because its macros break Boost's headers.
#include <criterion/criterion.h>

/// Tests every scenario with the real guards, and each disabled guard in the scenario that must detect its absence.
using namespace stairspur;
using namespace stairspur::distribution;

struct Scenario
{
    const char *name;
    Violations (*run)();
};

static constexpr Scenario Scenarios[] = {
        {"damaged network", runDamagedNetwork<DistributionPolicy>},
        {"heavy loss", runHeavyLoss<DistributionPolicy>},
        {"lost datagrams", runLostDatagrams<DistributionPolicy>},
        {"cut peer", runCutPeer<DistributionPolicy>},
        {"unresponsive source", runUnresponsiveSource<DistributionPolicy>},
        {"silent watch", runSilentWatch<DistributionPolicy>},
        {"relays", runRelays<DistributionPolicy>},
        {"cut domain", runCutDomain<DistributionPolicy>},
        {"partition", runPartition<DistributionPolicy>},
        {"restart", runRestart<DistributionPolicy>},
        {"store outage", runStoreOutage<DistributionPolicy>},
        {"two hashes", runTwoHashes<DistributionPolicy>},
        {"fork", runFork<DistributionPolicy>},
        {"store behind", runStoreBehind<DistributionPolicy>},
        {"damaged sections", runDamagedSections<DistributionPolicy>},
};

Test(DistributionMatrix, everyFault)
{
    for (const auto &it : Scenarios) {
        const auto found = it.run();
        cr_expect(found.empty(), "%s: %zu violations, first: %s", it.name, found.size(),
                  found.empty() ? "" : found[0].c_str());
    }
}

struct AcceptsOlder : DistributionPolicy
{
    static constexpr auto IsForwardOnly = false;
};

struct SkipsHashCheck : DistributionPolicy
{
    static constexpr auto VerifiesHash = false;
};

struct AcceptsSecondHash : DistributionPolicy
{
    static constexpr auto KeepsFirstOfEqualVersions = false;
};

struct OnePeerOnly : DistributionPolicy
{
    static constexpr auto RetriesOtherPeers = false;
};

struct NeverPolls : DistributionPolicy
{
    static constexpr auto PollsHead = false;
};

struct WaitsForStoreAtStart : DistributionPolicy
{
    static constexpr auto QueriesPeersAtStart = false;
};

struct OwnDomainOnly : DistributionPolicy
{
    static constexpr auto SendsToOtherDomains = false;
};

struct ChangesOnly : DistributionPolicy
{
    static constexpr auto LoadsWholeOnMismatch = false;
};

struct IgnoresDigests : DistributionPolicy
{
    static constexpr auto HandlesDigests = false;
};

Test(DistributionMatrix, eachGuardIsNeeded)
{
    const Scenario mutants[] = {
            {"accepts older versions", runStoreBehind<AcceptsOlder>},
            {"skips the hash check", runDamagedSections<SkipsHashCheck>},
            {"accepts the second hash", runTwoHashes<AcceptsSecondHash>},
            {"queries only one peer", runUnresponsiveSource<OnePeerOnly>},
            {"never polls the head", runSilentWatch<NeverPolls>},
            {"waits for the store at start", runRestart<WaitsForStoreAtStart>},
            {"own domain only", runCutDomain<OwnDomainOnly>},
            {"changes only", runFork<ChangesOnly>},
            {"ignores digests", runLostDatagrams<IgnoresDigests>},
    };
    for (const auto &it : mutants)
        cr_expect(!it.run().empty(), "the missing guard was not detected: %s", it.name);
}

/// The source of each version is reported so that the cause of a late version can be found.
Test(DistributionState, reportsTheSourceOfEachVersion)
{
    auto found = Violations();
    auto cluster = FakeCluster<DistributionPolicy>(1, 6, 1);
    startUp(cluster, "ways", found);
    applyNext(cluster, 1);
    check(cluster, 2s, "by watch", found);
    for (const auto &[id, node] : cluster.nodes)
        cr_expect((node.sources.back() == ConfigurationSource::Watch) == node.state->isRelay());
    cluster.isWatchSilent = true;
    cluster.hasDigests = false;
    for (auto &[id, node] : cluster.nodes)
        node.sources.clear();
    applyNext(cluster, 2);
    check(cluster, 10s, "by read", found);
    const auto isRead = [](const auto &it) {
        return std::ranges::count(it.second.sources, ConfigurationSource::Read) > 0;
    };
    cr_expect(std::ranges::any_of(cluster.nodes, isRead));
    cr_expect(found.empty());
}
