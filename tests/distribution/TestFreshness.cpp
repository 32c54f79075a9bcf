#include "FreshnessFleet.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// Whoever serves callers by their keys must know of each key that was taken away within five seconds, in touch or not; and
/// whoever can reach the store, or somebody who can, must go on serving.
using namespace stairspur;
using namespace stairspur::distribution;

static constexpr auto FreshnessSeeds = {1U, 2U, 3U, 4U, 5U};

template <typename Policy>
using Scenario = void (*)(FreshnessFleet<Policy> &);

/// Plays a scenario for each seed; the first violation, or nothing.
template <typename Policy>
static auto violationOf(void (*play)(FreshnessFleet<Policy> &)) -> std::string
{
    for (const auto seed : FreshnessSeeds) {
        auto fleet = FreshnessFleet<Policy>(3, 8, seed);
        play(fleet);
        if (!fleet.violations.empty())
            return "seed " + std::to_string(seed) + ": " + fleet.violations.front();
    }
    return {};
}

/// Nobody hears of the revocation but by proofs: rumors and digests are cut, as for a host behind a cut.
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
static auto revokeWhileTheStoreTurnsHostsAway(FreshnessFleet<Policy> &fleet) -> void
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
    // It wakes with what came meanwhile still in its queues: old confirmations among it.
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
static auto revokeWhileARelayIsFrozenAndTellsOthersAfterwards(FreshnessFleet<Policy> &fleet) -> void
{
    const auto relays = fleet.relaysIn("d0");
    fleet.cluster.pause(relays.front());
    fleet.run(500ms);
    fleet.apply();
    // All others of its domain lose the store and the other domains: the frozen relay is whom they will hear.
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
static auto revokeAndGiveAgain(FreshnessFleet<Policy> &fleet) -> void
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

/// Confirmations lie in a queue for seconds, then arrive all at once.
template <typename Policy>
static auto revokeWhileDatagramsAreHeldUp(FreshnessFleet<Policy> &fleet) -> void
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
        Scenario<DistributionPolicy> play;
    } const cases[] = {
            {"behind a cut", revokeBehindACut},
            {"turned away by the store", revokeWhileTheStoreTurnsHostsAway},
            {"a frozen host", revokeWhileAHostIsFrozen},
            {"a frozen relay", revokeWhileARelayIsFrozenAndTellsOthersAfterwards},
            {"given again", revokeAndGiveAgain},
            {"datagrams held up", revokeWhileDatagramsAreHeldUp},
    };
    for (const auto &it : cases) {
        const auto violation = violationOf<DistributionPolicy>(it.play);
        cr_expect(violation.empty(), "%s: %s", it.name, violation.c_str());
    }
}

struct CountsFromArrival : DistributionPolicy
{
    static constexpr auto CountsFromRequestTime = false;
};

struct TakesProofsOfOtherVersions : DistributionPolicy
{
    static constexpr auto WaitsForVersion = false;
};

/// One node without any configuration that hears version 5 confirmed; whether it takes that for a proof of what it has.
template <typename Policy>
static auto takesProofOfAnUnknownVersion() -> bool
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

Test(Freshness, eachGuardIsNoticedWhenItIsMissing)
{
    cr_expect(!violationOf<CountsFromArrival>(revokeWhileDatagramsAreHeldUp).empty(),
              "a proof that counts from its arrival passes for newer than it is");
    cr_expect(takesProofOfAnUnknownVersion<TakesProofsOfOtherVersions>());
    cr_expect(!takesProofOfAnUnknownVersion<DistributionPolicy>());
}

/// How often hosts refuse keys while they, or others through whom they could know, reach the store.
template <typename Policy>
static auto refusedShare(int perDomain, std::uint64_t seed,
                         const std::function<void(FreshnessFleet<Policy> &)> &disturb) -> double
{
    auto fleet = FreshnessFleet<Policy>(3, perDomain, seed);
    fleet.run(1s);
    disturb(fleet);
    fleet.refused = 0;
    fleet.looks = 0;
    fleet.run(20s);
    return static_cast<double>(fleet.refused) / static_cast<double>(fleet.looks);
}

/// One relay is frozen, two thirds of the hosts of each domain are turned away by the store, a tenth of all datagrams is lost.
static auto disturbSome(auto &fleet) -> void
{
    fleet.cluster.lossShare = 0.1;
    auto n = 0;
    for (auto &[id, node] : fleet.cluster.nodes)
        node.mayReachStore = ++n % 3 == 0;
    fleet.cluster.pause(fleet.relaysIn("d1").front());
}

/// A whole domain's way to the store is gone, not its way to the other domains.
static auto disturbADomain(auto &fleet) -> void
{
    for (auto &[id, node] : fleet.cluster.nodes)
        node.mayReachStore = node.domain != "d2";
}

/// One host reaches the store and nobody else.
static auto isolateOne(auto &fleet) -> void
{
    fleet.cluster.isCut = [](const auto &from, const auto &to) {
        return from == "d0/4" || to == "d0/4";
    };
}

Test(Freshness, whoeverCanReachTheStoreOrSomebodyWhoCanGoesOnServing)
{
    struct
    {
        const char *name;
        std::function<void(FreshnessFleet<DistributionPolicy> &)> disturb;
    } const cases[] = {
            {"some", [](auto &fleet) { disturbSome(fleet); }},
            {"a domain", [](auto &fleet) { disturbADomain(fleet); }},
            {"one host alone", [](auto &fleet) { isolateOne(fleet); }},
    };
    for (const auto &it : cases) {
        for (const auto seed : FreshnessSeeds) {
            const auto refused = refusedShare<DistributionPolicy>(8, seed, it.disturb);
            cr_expect_eq(refused, 0.0, "%s, seed %u: %.4f of all looks refused", it.name, seed,
                         refused);
        }
    }
}

struct WaitsForItsParents : DistributionPolicy
{
    static constexpr auto SearchesForProofs = false;
};

Test(Freshness, aDomainWithoutTheStoreWouldRefuseIfItDidNotAskElsewhere)
{
    cr_assert_gt(refusedShare<WaitsForItsParents>(8, 1, [](auto &fleet) { disturbADomain(fleet); }),
                 0.0);
}

/// In calm a proof is young enough that a host which loses everything still serves for three of the five seconds.
Test(Freshness, inCalmNoProofIsOlderThanTwoSeconds)
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

Test(Freshness, afterTheStoresReturnAllServeWithinASecond)
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

/// Each read is for all: what proofs cost the store does not grow with the hosts.
Test(Freshness, inCalmTheStoreIsReadOnceInASecondForEachDomain)
{
    auto fleet = FreshnessFleet<DistributionPolicy>(3, 23, 1);
    fleet.run(5s);
    const auto before = fleet.cluster.storeReads;
    fleet.run(24s);
    cr_assert_leq(fleet.cluster.storeReads - before, 3 * 24, "%zu reads",
                  static_cast<std::size_t>(fleet.cluster.storeReads - before));
}

/// While nobody gets an answer the members of a domain ask some fifty times a second together, however many they are, and its
/// three relays each twice, with a watch of theirs beside it.
Test(Freshness, aStoreThatIsAwayIsNotAskedByEverybody)
{
    static constexpr auto MostReadsPerSecond = std::uint64_t{50 + 3 * 2 * 2};
    auto fleet = FreshnessFleet<DistributionPolicy>(1, 400, 1);
    fleet.cluster.isStoreDown = true;
    fleet.run(2s);
    for (auto second = 0; second < 5; ++second) {
        const auto before = fleet.cluster.storeReads;
        fleet.run(1s);
        const auto reads = fleet.cluster.storeReads - before;
        cr_expect_leq(reads, MostReadsPerSecond, "second %d: %zu", second,
                      static_cast<std::size_t>(reads));
    }
}
