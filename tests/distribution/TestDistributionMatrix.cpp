#include "DistributionScenarios.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// Every scenario with the real guards; and each guard that is taken away, in the scenario that must notice.
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
        {"missed news", runMissedNews<DistributionPolicy>},
        {"cut peer", runCutPeer<DistributionPolicy>},
        {"deaf source", runDeafSource<DistributionPolicy>},
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

struct GoesBack : DistributionPolicy
{
    static constexpr auto IsForwardOnly = false;
};

struct Trusts : DistributionPolicy
{
    static constexpr auto VerifiesHash = false;
};

struct TakesSecond : DistributionPolicy
{
    static constexpr auto KeepsFirstOfEqualVersions = false;
};

struct OnePeerOnly : DistributionPolicy
{
    static constexpr auto RetriesOtherPeers = false;
};

struct TrustsWatch : DistributionPolicy
{
    static constexpr auto PollsHead = false;
};

struct WaitsWhenFresh : DistributionPolicy
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

struct DeafToDigests : DistributionPolicy
{
    static constexpr auto HandlesDigests = false;
};

Test(DistributionMatrix, eachGuardIsNeeded)
{
    const Scenario mutants[] = {
            {"goes back", runStoreBehind<GoesBack>},
            {"trusts sections", runDamagedSections<Trusts>},
            {"takes the second hash", runTwoHashes<TakesSecond>},
            {"asks one peer only", runDeafSource<OnePeerOnly>},
            {"trusts its watch", runSilentWatch<TrustsWatch>},
            {"waits when fresh", runRestart<WaitsWhenFresh>},
            {"own domain only", runCutDomain<OwnDomainOnly>},
            {"changes only", runFork<ChangesOnly>},
            {"deaf to digests", runMissedNews<DeafToDigests>},
    };
    for (const auto &it : mutants)
        cr_expect(!it.run().empty(), "nothing saw the guard missing: %s", it.name);
}

/// Whoever looks for the cause of a late version has to see which way it took.
Test(DistributionState, tellsByWhichWayAVersionCame)
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
