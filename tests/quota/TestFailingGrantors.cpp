#include <cstdlib>

#include <criterion/criterion.h>

#include "FailingHosts.h"

/// Tests that a quota holds while grantors and other hosts are suspended and killed, alone and in series.
using namespace stairspur;
using namespace stairspur::quota;
using namespace std::chrono_literals;

static constexpr auto Quota = config::RequestQuota{200, 200};
/// Far more than the quota.
static constexpr auto Demand = 1'500.0;
/// Share of the demand at the grantor's own host, which asks its own process for tokens.
static constexpr auto GrantorShare = 0.4;

static auto seedsToRun(std::uint64_t seedsInCi) -> std::uint64_t
{
    const auto *seeds = std::getenv("STAIRSPUR_SOAK_SEEDS");
    return seeds ? static_cast<std::uint64_t>(std::atoi(seeds)) : seedsInCi;
}

/// A fault that befalls a caller's grantor, some times in a row.
struct GrantorFault
{
    const char *name;
    bool isKill;
    Duration time; ///< From the suspension or the kill to the return.
};

static constexpr auto GrantorFaults = std::array{GrantorFault{"suspended for 0.3 s", false, 300ms},
                                                 GrantorFault{"suspended for 1 s", false, 1s},
                                                 GrantorFault{"suspended for 4 s", false, 4s},
                                                 GrantorFault{"suspended for 10 s", false, 10s},
                                                 GrantorFault{"killed for 0.05 s", true, 50ms},
                                                 GrantorFault{"killed for 0.5 s", true, 500ms},
                                                 GrantorFault{"killed for 3 s", true, 3s},
                                                 GrantorFault{"killed for 10 s", true, 10s}};

/// Returns the requests in the fullest window of a caller whose grantor fails three times in a row.
template <typename Policy>
static auto fullestWindow(const GrantorFault &fault, std::uint64_t seed) -> std::uint64_t
{
    static constexpr auto Hosts = 12U;
    static constexpr auto Faults = 3;
    auto fleet = FailingHosts<Policy>(Hosts, seed);
    auto &caller = fleet.hosts.addCaller("tenant" + std::to_string(seed % 7), Quota, Demand);
    const auto grantor = fleet.hosts.grantorOf(caller.name);
    caller.busyHost = grantor;
    caller.busyShare = GrantorShare;
    fleet.run(8s);
    for (auto n = 0; n < Faults; ++n) {
        if (fault.isKill)
            fleet.kill(grantor, fault.time);
        else
            fleet.suspend(grantor, fault.time);
        fleet.run(fault.time + 8s);
    }
    return caller.window.maxRuns;
}

// A grantor that was suspended or restarted granted beside its successor, or without regard to what it had granted before.
Test(FailingGrantors, quotaHoldsWhenTheGrantorReturns, .timeout = 3'600)
{
    const auto allowed = QuotaGuarantee::maxRequests(Quota);
    for (const auto &fault : GrantorFaults) {
        auto most = std::uint64_t{0};
        for (auto seed = std::uint64_t{1}; seed <= seedsToRun(3); ++seed) {
            const auto runs = fullestWindow<GrantorPolicy>(fault, seed);
            most = std::max(most, runs);
            cr_expect_leq(static_cast<double>(runs), allowed, "%s, seed %llu: %llu of %.0f",
                          fault.name, static_cast<unsigned long long>(seed),
                          static_cast<unsigned long long>(runs), allowed);
        }
        std::printf("# %s: %llu of %.0f\n", fault.name, static_cast<unsigned long long>(most),
                    allowed);
    }
}

/// Neither resigns after a suspension nor yields to a successor; each of the two alone is enough.
struct GoesOnBesideSuccessor : GrantorPolicy
{
    static constexpr auto ResignsAfterSuspension = false;
    static constexpr auto YieldsToSuccessor = false;
};

struct GrantsToAnyHost : GrantorPolicy
{
    static constexpr auto ChecksSelection = false;
};

struct GrantsToAnyHostWithoutHistory : GrantsToAnyHost
{
    static constexpr auto CountsHistories = false;
};

template <typename Policy>
static auto fullestWindowOfSeeds(const GrantorFault &fault) -> std::uint64_t
{
    static constexpr auto Seeds = 8U;
    auto most = std::uint64_t{0};
    for (auto seed = 1U; seed <= Seeds; ++seed)
        most = std::max(most, fullestWindow<Policy>(fault, seed));
    return most;
}

Test(FailingGrantors, quotaIsExceededWithoutEachSafeguard, .timeout = 600)
{
    static constexpr auto Suspended = GrantorFault{"suspended for 1 s", false, 1s};
    static constexpr auto Killed = GrantorFault{"killed for 0.05 s", true, 50ms};
    const auto allowed = static_cast<std::uint64_t>(QuotaGuarantee::maxRequests(Quota));
    cr_expect_gt(fullestWindowOfSeeds<GoesOnBesideSuccessor>(Suspended), allowed);
    const auto withHistory = fullestWindowOfSeeds<GrantsToAnyHost>(Killed);
    cr_expect_gt(withHistory, allowed);
    cr_expect_gt(fullestWindowOfSeeds<GrantsToAnyHostWithoutHistory>(Killed), withHistory);
}

/// Suspends and kills hosts, the grantor among them, in a random series in which faults overlap. Returns the requests in the
/// fullest window.
static auto fullestWindowOfSeries(std::uint64_t seed) -> std::uint64_t
{
    static constexpr auto Events = 12;
    auto random = Random(seed);
    const auto hosts = 6 + randomBelow(random, 10);
    auto fleet = FailingHosts<>(hosts, seed);
    auto &caller = fleet.hosts.addCaller("tenant" + std::to_string(seed), Quota, Demand);
    const auto grantor = fleet.hosts.grantorOf(caller.name);
    caller.busyHost = randomBelow(random, 2) == 0 ? grantor : randomBelow(random, hosts);
    caller.busyShare = randomUnit(random) * GrantorShare;
    fleet.run(6s);
    for (auto n = 0; n < Events; ++n) {
        const auto host = randomBelow(random, 3) == 0 ? grantor : randomBelow(random, hosts);
        const auto time = std::chrono::milliseconds(50 + randomBelow(random, 6'000));
        if (randomBelow(random, 2) == 0)
            fleet.suspend(host, time);
        else
            fleet.kill(host, time);
        fleet.run(std::chrono::milliseconds(randomBelow(random, 5'000)));
    }
    fleet.run(8s);
    return caller.window.maxRuns;
}

Test(FailingGrantors, quotaHoldsInSeriesOfFaults, .timeout = 3'600)
{
    const auto allowed = QuotaGuarantee::maxRequests(Quota);
    auto most = std::uint64_t{0};
    for (auto seed = std::uint64_t{1}; seed <= seedsToRun(10); ++seed) {
        const auto runs = fullestWindowOfSeries(seed);
        most = std::max(most, runs);
        cr_expect_leq(static_cast<double>(runs), allowed, "seed %llu: %llu of %.0f",
                      static_cast<unsigned long long>(seed), static_cast<unsigned long long>(runs),
                      allowed);
    }
    std::printf("# series: %llu of %.0f\n", static_cast<unsigned long long>(most), allowed);
}
