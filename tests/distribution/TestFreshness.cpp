#include "FreshnessFleet.h"

// This header is included after Boost, because its macros break Boost's headers.
#include <criterion/criterion.h>

/// A host that serves callers by their keys must apply each revocation of a key within five seconds, whether it is connected
/// or not. A host that reaches the store, directly or through another host, must keep serving.
using namespace stairspur;
using namespace stairspur::distribution;

static constexpr auto FreshnessSeeds = {1U, 2U, 3U, 4U, 5U};

template <typename Policy>
using Scenario = void (*)(FreshnessFleet<Policy> &);

/// Runs a scenario for each seed and returns the first violation, or an empty string.
template <typename Policy>
static auto violationOf(void (*run)(FreshnessFleet<Policy> &)) -> std::string
{
    for (const auto seed : FreshnessSeeds) {
        auto fleet = FreshnessFleet<Policy>(3, 8, seed);
        run(fleet);
        if (!fleet.violations.empty())
            return "seed " + std::to_string(seed) + ": " + fleet.violations.front();
    }
    return {};
}

/// One host is cut off from all nodes and the store when a key is revoked, so it must stop serving when its proof is too old.
template <typename Policy>
static auto revokeBehindACut(FreshnessFleet<Policy> &fleet) -> void
{
    const auto cutOff = NodeId("d1/3");
    fleet.cluster.isCut = [cutOff](const auto &from, const auto &to) {
        return from == cutOff || to == cutOff;
    };
    fleet.cluster.nodes[cutOff].mayReachStore = false;
    fleet.apply();
    fleet.run(8s);
}

template <typename Policy>
static auto revokeWhileTheStoreRefusesHosts(FreshnessFleet<Policy> &fleet) -> void
{
    auto n = 0;
    for (auto &[id, node] : fleet.cluster.nodes)
        node.mayReachStore = ++n % 3 != 0;
    fleet.apply();
    fleet.run(4s);
    fleet.apply();
    fleet.run(8s);
}

template <typename Policy>
static auto revokeWhileAHostIsFrozen(FreshnessFleet<Policy> &fleet) -> void
{
    // A resumed host first processes the queued messages, among them old confirmations.
    for (const auto *id : {"d0/1", "d0/2", "d1/5"})
        fleet.cluster.pause(id);
    fleet.run(1s);
    fleet.apply();
    fleet.run(7s);
    for (const auto *id : {"d0/1", "d0/2", "d1/5"}) {
        fleet.cluster.isCut = [id](const auto &from, const auto &to) {
            return from == id || to == id;
        };
        fleet.cluster.nodes[id].mayReachStore = false;
        fleet.cluster.resume(id);
        fleet.run(300ms);
    }
    fleet.run(6s);
}

template <typename Policy>
static auto revokeWhileARelayIsFrozenAndConfirmsAfterwards(FreshnessFleet<Policy> &fleet) -> void
{
    const auto relays = fleet.relaysIn("d0");
    fleet.cluster.pause(relays.front());
    fleet.run(500ms);
    fleet.apply();
    // The other nodes of its domain lose the store and the other domains, so that they receive proofs only from the frozen
    // relay.
    fleet.cluster.isCut = [](const auto &from, const auto &to) {
        return from.substr(0, 2) != to.substr(0, 2);
    };
    for (auto &[id, node] : fleet.cluster.nodes)
        node.mayReachStore = node.domain != "d0";
    fleet.run(7s);
    fleet.cluster.resume(relays.front());
    fleet.run(6s);
}

template <typename Policy>
static auto revokeAndGrantAgain(FreshnessFleet<Policy> &fleet) -> void
{
    for (auto n = 0; n < 6; ++n) {
        fleet.apply();
        fleet.run(700ms);
    }
    fleet.cluster.isStoreDown = true;
    fleet.run(3s);
    fleet.cluster.isStoreDown = false;
    fleet.apply();
    fleet.run(8s);
}

/// Confirmations arrive several seconds after they were sent.
template <typename Policy>
static auto revokeWhileDatagramsAreDelayed(FreshnessFleet<Policy> &fleet) -> void
{
    fleet.cluster.minLatency = 3s;
    fleet.cluster.maxLatency = 3500ms;
    for (auto &[id, node] : fleet.cluster.nodes)
        node.mayReachStore = id == fleet.relaysIn(node.domain).front();
    fleet.run(1s);
    fleet.apply();
    fleet.run(20s);
}

Test(Freshness, noHostServesByAVersionThatWasReplacedTooLongAgo)
{
    struct
    {
        const char *name;
        Scenario<DistributionPolicy> run;
    } const cases[] = {
            {"behind a cut", revokeBehindACut},
            {"refused by the store", revokeWhileTheStoreRefusesHosts},
            {"a frozen host", revokeWhileAHostIsFrozen},
            {"a frozen relay", revokeWhileARelayIsFrozenAndConfirmsAfterwards},
            {"granted again", revokeAndGrantAgain},
            {"datagrams delayed", revokeWhileDatagramsAreDelayed},
    };
    for (const auto &it : cases) {
        const auto violation = violationOf<DistributionPolicy>(it.run);
        cr_expect(violation.empty(), "%s: %s", it.name, violation.c_str());
    }
}

struct CountsFromArrival : DistributionPolicy
{
    static constexpr auto CountsFromRequestTime = false;
};

struct AcceptsProofsOfOtherVersions : DistributionPolicy
{
    static constexpr auto WaitsForVersion = false;
};

/// Returns whether a node without a configuration accepts a confirmation of version 5 as a proof of its own configuration.
template <typename Policy>
static auto acceptsProofOfAnotherVersion() -> bool
{
    auto context = DistributionContext();
    context.self = "self";
    context.domainRanking = {"a", "b", "c", "self"};
    context.settings.isProvingFreshness = true;
    auto freshness = Freshness<Policy>(context);
    const auto now = TimePoint{1h};
    freshness.tick(now);
    const auto action = std::get<SendDatagram>(context.actions.front());
    auto confirmation = decodeDatagram(action.payload).confirmation;
    confirmation.version = 5;
    freshness.didReceiveConfirm(confirmation, now + 1ms);
    return freshness.provenAt().has_value();
}

Test(Freshness, eachMissingGuardIsDetected)
{
    cr_expect(!violationOf<CountsFromArrival>(revokeWhileDatagramsAreDelayed).empty(),
              "a proof that counts from its arrival was not detected as too new");
    cr_expect(acceptsProofOfAnotherVersion<AcceptsProofsOfOtherVersions>());
    cr_expect(!acceptsProofOfAnotherVersion<DistributionPolicy>());
}

/// Returns the share of inspections in which hosts refuse keys while they reach the store directly or through others.
template <typename Policy>
static auto refusedShare(int perDomain, std::uint64_t seed,
                         const std::function<void(FreshnessFleet<Policy> &)> &disturb) -> double
{
    auto fleet = FreshnessFleet<Policy>(3, perDomain, seed);
    fleet.run(1s);
    disturb(fleet);
    fleet.refused = 0;
    fleet.inspections = 0;
    fleet.run(20s);
    return static_cast<double>(fleet.refused) / static_cast<double>(fleet.inspections);
}

/// Pauses one relay, makes the store refuse two thirds of the hosts of each domain, and loses a tenth of all datagrams.
static auto disturbSome(auto &fleet) -> void
{
    fleet.cluster.lossShare = 0.1;
    auto n = 0;
    for (auto &[id, node] : fleet.cluster.nodes)
        node.mayReachStore = ++n % 3 == 0;
    fleet.cluster.pause(fleet.relaysIn("d1").front());
}

/// Cuts a whole domain off from the store, but not from the other domains.
static auto disturbADomain(auto &fleet) -> void
{
    for (auto &[id, node] : fleet.cluster.nodes)
        node.mayReachStore = node.domain != "d2";
}

/// Cuts one host off from all nodes, but not from the store.
static auto isolateOne(auto &fleet) -> void
{
    fleet.cluster.isCut = [](const auto &from, const auto &to) {
        return from == "d0/4" || to == "d0/4";
    };
}

Test(Freshness, hostsThatReachTheStoreDirectlyOrThroughOthersKeepServing)
{
    struct
    {
        const char *name;
        std::function<void(FreshnessFleet<DistributionPolicy> &)> disturb;
    } const cases[] = {
            {"some", [](auto &fleet) { disturbSome(fleet); }},
            {"a domain", [](auto &fleet) { disturbADomain(fleet); }},
            {"one isolated host", [](auto &fleet) { isolateOne(fleet); }},
    };
    for (const auto &it : cases) {
        for (const auto seed : FreshnessSeeds) {
            const auto refused = refusedShare<DistributionPolicy>(8, seed, it.disturb);
            cr_expect_eq(refused, 0.0, "%s, seed %u: %.4f of all inspections refused", it.name,
                         seed, refused);
        }
    }
}

struct UsesOnlyItsParents : DistributionPolicy
{
    static constexpr auto SearchesForProofs = false;
};

Test(Freshness, aDomainWithoutTheStoreRefusesUnlessItSearchesOtherDomains)
{
    cr_assert_gt(refusedShare<UsesOnlyItsParents>(8, 1, [](auto &fleet) { disturbADomain(fleet); }),
                 0.0);
}

/// Without faults a proof is young enough for a host that loses all connections to keep serving for three of the five seconds.
Test(Freshness, withoutFaultsNoProofIsOlderThanTwoSeconds)
{
    for (const auto seed : FreshnessSeeds) {
        auto fleet = FreshnessFleet<DistributionPolicy>(3, 23, seed);
        fleet.cluster.lossShare = 0.01;
        fleet.run(2s);
        fleet.oldest = Duration::zero();
        fleet.run(20s);
        cr_expect_leq(toMilliseconds(fleet.oldest), 2000, "seed %u", seed);
    }
}

Test(Freshness, allHostsServeWithinASecondAfterTheStoreReturns)
{
    for (const auto seed : FreshnessSeeds) {
        auto fleet = FreshnessFleet<DistributionPolicy>(3, 23, seed);
        fleet.cluster.isStoreDown = true;
        fleet.run(9s);
        fleet.cluster.isStoreDown = false;
        fleet.run(1s);
        for (const auto &[id, node] : fleet.cluster.nodes)
            cr_expect(fleet.servesKeys(id), "seed %u: %s", seed, id.c_str());
    }
}

/// Each read serves the whole domain, so that the store's load by proofs does not grow with the number of hosts.
Test(Freshness, withoutFaultsTheStoreIsReadOnceASecondForEachDomain)
{
    auto fleet = FreshnessFleet<DistributionPolicy>(3, 23, 1);
    fleet.run(5s);
    const auto before = fleet.cluster.storeReads;
    fleet.run(24s);
    cr_assert_leq(fleet.cluster.storeReads - before, 3 * 24, "%zu reads",
                  static_cast<std::size_t>(fleet.cluster.storeReads - before));
}

/// While the store does not answer, all members of a domain together read about fifty times a second, independent of their
/// number. In addition each of its three relays reads twice and opens a watch twice.
Test(Freshness, anUnreachableStoreIsNotReadByEveryHost)
{
    static constexpr auto MaxReadsPerSecond = std::uint64_t{50 + 3 * 2 * 2};
    auto fleet = FreshnessFleet<DistributionPolicy>(1, 400, 1);
    fleet.cluster.isStoreDown = true;
    fleet.run(2s);
    for (auto second = 0; second < 5; ++second) {
        const auto before = fleet.cluster.storeReads;
        fleet.run(1s);
        const auto reads = fleet.cluster.storeReads - before;
        cr_expect_leq(reads, MaxReadsPerSecond, "second %d: %zu", second,
                      static_cast<std::size_t>(reads));
    }
}
