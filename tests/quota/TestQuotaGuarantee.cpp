#include <array>

#include <criterion/criterion.h>

#include "VirtualHosts.h"

/// Tests that a caller's quota limits its requests over all hosts together in spite of faults of hosts and links, and that no
/// request within the quota is refused.
using namespace stairspur;
using namespace stairspur::quota;
using namespace std::chrono_literals;

static constexpr auto QuotaSeeds = {1U, 2U, 3U};

/// Typical callers: a large one, small ones with less than one request per second on each host, one without a burst.
static constexpr auto Quotas =
        std::array{config::RequestQuota{353, 353}, config::RequestQuota{27, 27},
                   config::RequestQuota{3, 3}, config::RequestQuota{40, 0}};

/// Returns `times` the usual demand of a caller, in requests per second. A quota is 1.6 times the usual demand.
static auto demandOf(const config::RequestQuota &quota, double times) -> double
{
    return quota.requestsPerSecond / 1.6 * times;
}

template <typename Policy>
using Scenario = std::function<void(VirtualHosts<Policy> &)>;

struct Fault
{
    const char *name;
    Scenario<GrantorPolicy> scenario;
};

/// Approximate time after which a crash is detected.
static constexpr auto DetectionTime = 2s;

template <typename Policy>
static auto crashATenth(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    for (auto index = std::size_t{0}; index < n / 10 + 1; ++index)
        hosts.crash(index);
    hosts.run(DetectionTime);
    hosts.updateViews();
    hosts.run(5s);
}

template <typename Policy>
static auto partition(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    hosts.partitionAt(n / 3);
    hosts.run(DetectionTime);
    hosts.updateViews();
    hosts.run(6s);
    hosts.partitionAt(0);
    hosts.run(1s);
    hosts.updateViews();
    hosts.run(6s);
}

/// Partitions the hosts without an update of their views: hosts of another failure domain stay alive in the membership table
/// while the domain as a whole is unreachable.
template <typename Policy>
static auto partitionUndetected(VirtualHosts<Policy> &hosts, std::size_t border) -> void
{
    hosts.partitionAt(border);
    hosts.run(6s);
    hosts.partitionAt(0);
    hosts.run(2s);
}

/// Partitions the hosts; one side removes the other from its view, but not the reverse.
template <typename Policy>
static auto partitionDetectedByOneSide(VirtualHosts<Policy> &hosts, std::size_t border) -> void
{
    hosts.partitionAt(border);
    hosts.run(DetectionTime);
    hosts.updateViews(border);
    hosts.run(3s);
    hosts.partitionAt(0);
    hosts.run(1s);
    hosts.updateViews();
    hosts.run(4s);
}

template <typename Policy>
static auto isolateAThird(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    for (auto index = std::size_t{0}; index < n / 3; ++index)
        hosts.setIsolated(index, true);
    hosts.run(DetectionTime);
    hosts.updateViews();
    hosts.run(6s);
}

template <typename Policy>
static auto restartAll(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    for (auto index = std::size_t{0}; index < n; ++index)
        hosts.crash(index);
    hosts.run(1s);
    for (auto index = std::size_t{0}; index < n; ++index)
        hosts.start(index);
    hosts.run(1s);
    hosts.updateViews();
    hosts.run(6s);
}

template <typename Policy>
static auto pauseSome(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    for (auto index = std::size_t{0}; index < n; index += 4)
        hosts.pause(index, true);
    hosts.run(1500ms);
    for (auto index = std::size_t{0}; index < n; index += 4)
        hosts.pause(index, false);
    hosts.run(5s);
}

static auto faults(std::size_t n) -> std::vector<Fault>
{
    return {
            {"calm", [](auto &hosts) { hosts.run(8s); }},
            {"loss",
             [](auto &hosts) {
                 hosts.lossShare = 0.1;
                 hosts.run(8s);
             }},
            {"a tenth crashes", [n](auto &hosts) { crashATenth(hosts, n); }},
            {"partition", [n](auto &hosts) { partition(hosts, n); }},
            {"undetected partition of a third",
             [n](auto &hosts) { partitionUndetected(hosts, n / 3); }},
            {"undetected partition of two thirds",
             [n](auto &hosts) { partitionUndetected(hosts, n - n / 3); }},
            {"partition detected by one side",
             [n](auto &hosts) { partitionDetectedByOneSide(hosts, n / 3); }},
            {"a third is isolated", [n](auto &hosts) { isolateAThird(hosts, n); }},
            {"all restart", [n](auto &hosts) { restartAll(hosts, n); }},
            {"some are paused", [n](auto &hosts) { pauseSome(hosts, n); }},
    };
}

Test(QuotaGuarantee, quotaIsNeverExceeded)
{
    for (const auto n : {15U, 68U}) {
        for (const auto &fault : faults(n)) {
            for (const auto times : {7.5, 50.0}) {
                auto hosts = VirtualHosts<>(n, 1);
                for (const auto &quota : Quotas)
                    hosts.addCaller("c" + std::to_string(hosts.callers().size()), quota,
                                    demandOf(quota, 1.0));
                hosts.run(3s);
                for (auto &it : hosts.callers())
                    it.demand = demandOf(it.quota, times);
                hosts.run(2s);
                fault.scenario(hosts);
                for (const auto &it : hosts.callers())
                    cr_expect_leq(static_cast<double>(it.window.maxRuns),
                                  QuotaGuarantee::maxRequests(it.quota),
                                  "%u hosts, %s, %.1f times, rate %.0f: %zu of %.0f", n, fault.name,
                                  times, it.quota.requestsPerSecond, it.window.maxRuns,
                                  QuotaGuarantee::maxRequests(it.quota));
            }
        }
    }
}

Test(QuotaGuarantee, noRequestIsRefusedBelowTheQuota)
{
    for (const auto n : {15U, 68U}) {
        for (const auto seed : QuotaSeeds) {
            auto hosts = VirtualHosts<>(n, seed);
            for (const auto &quota : Quotas)
                hosts.addCaller("c" + std::to_string(hosts.callers().size()), quota,
                                demandOf(quota, 1.5));
            hosts.run(15s);
            for (const auto &it : hosts.callers())
                cr_expect_eq(it.refused, 0, "%u hosts, seed %u, rate %.0f: %zu of %zu", n, seed,
                             it.quota.requestsPerSecond, it.refused, it.offered);
        }
    }
}

/// A caller may permanently send its rate and a fifth of its burst each second: in five seconds that is its rate for five
/// seconds and its burst once.
Test(QuotaGuarantee, longSurgeWithinRateAndBurstIsAdmitted)
{
    for (const auto seed : QuotaSeeds) {
        auto hosts = VirtualHosts<>(68, seed);
        auto &caller = hosts.addCaller("c", {353, 353}, 353 * 1.1);
        hosts.run(20s);
        cr_expect_eq(caller.refused, 0, "seed %u: %zu of %zu", seed, caller.refused,
                     caller.offered);
    }
}

/// A caller that exceeds its quota must still get nearly all of its rate.
Test(QuotaGuarantee, callerAboveItsQuotaGetsItsQuota)
{
    auto hosts = VirtualHosts<>(68, 1);
    for (const auto &quota : Quotas)
        hosts.addCaller("c" + std::to_string(hosts.callers().size()), quota, demandOf(quota, 7.5));
    hosts.run(4s);
    for (auto &it : hosts.callers())
        it.admitted = 0;
    hosts.run(10s);
    for (const auto &it : hosts.callers())
        cr_expect_geq(static_cast<double>(it.admitted), 0.95 * 10 * it.quota.requestsPerSecond,
                      "rate %.0f: %zu", it.quota.requestsPerSecond, it.admitted);
}

/// Requests that the hosts refuse for other reasons must not use up the quota.
Test(QuotaGuarantee, tokensOfRefusedRequestsAreReturned)
{
    auto hosts = VirtualHosts<>(68, 1);
    auto &caller = hosts.addCaller("c", {100, 100}, 150);
    hosts.shedShare = 0.4;
    hosts.run(15s);
    cr_expect_eq(caller.refused, 0, "%zu of %zu", caller.refused, caller.offered);
}

struct GrantsFullQuotaOnEachSide : GrantorPolicy
{
    static constexpr auto ScalesByAliveHosts = false;
};

/// Without the histories of its hosts: with them, the window alone limits what a full bucket grants.
struct StartsFullAtTakeover : GrantorPolicy
{
    static constexpr auto StartsEmptyAtTakeover = false;
    static constexpr auto CountsHistories = false;
};

template <typename Policy>
static auto fullestWindowOf(const std::function<void(VirtualHosts<Policy> &)> &scenario) -> double
{
    auto hosts = VirtualHosts<Policy>(68, 1);
    auto &caller = hosts.addCaller("c", {353, 353}, demandOf({353, 353}, 7.5));
    hosts.run(5s);
    scenario(hosts);
    return static_cast<double>(caller.window.maxRuns);
}

/// Runs a takeover: a third of the hosts restarts and takes over its callers from other grantors while these callers exceed
/// their quotas. Returns the requests in the fullest window.
template <typename Policy>
static auto fullestWindowAtTakeover() -> double
{
    auto hosts = VirtualHosts<Policy>(68, 1);
    for (auto n = 0; n < 12; ++n)
        hosts.addCaller("c" + std::to_string(n), {353, 353}, 0);
    for (auto index = std::size_t{0}; index < 23; ++index)
        hosts.crash(index);
    hosts.updateViews();
    hosts.run(2s);
    for (auto index = std::size_t{0}; index < 23; ++index)
        hosts.start(index);
    hosts.updateViews();
    hosts.run(1s);
    for (auto &it : hosts.callers())
        it.demand = demandOf(it.quota, 7.5);
    hosts.run(6s);
    auto maxRuns = std::uint64_t{0};
    for (const auto &it : hosts.callers())
        maxRuns = std::max(maxRuns, it.window.maxRuns);
    return static_cast<double>(maxRuns);
}

Test(QuotaGuarantee, quotaIsExceededWithoutEachSafeguard)
{
    const auto maxRuns = QuotaGuarantee::maxRequests({353, 353});
    cr_expect_gt(
            fullestWindowOf<GrantsFullQuotaOnEachSide>([](auto &hosts) { partition(hosts, 68); }),
            maxRuns);
    cr_expect_gt(fullestWindowAtTakeover<StartsFullAtTakeover>(), maxRuns);
    cr_expect_leq(fullestWindowAtTakeover<GrantorPolicy>(), maxRuns);
}

Test(QuotaGuarantee, loweredQuotaAppliesAfterOneWindow)
{
    auto hosts = VirtualHosts<>(68, 1);
    auto &caller = hosts.addCaller("c", {353, 353}, demandOf({353, 353}, 1.5));
    hosts.run(5s);
    caller.quota = {30, 30};
    hosts.run(1s);
    caller.window = {};
    hosts.run(10s);
    cr_expect_leq(static_cast<double>(caller.window.maxRuns),
                  QuotaGuarantee::maxRequests(caller.quota));
}
