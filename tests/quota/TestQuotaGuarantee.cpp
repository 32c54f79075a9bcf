#include <array>

#include <criterion/criterion.h>

#include "VirtualHosts.h"

/// What a caller may send holds over all hosts together, whatever happens to hosts and links; and below it nothing is refused.
using namespace stairspur;
using namespace stairspur::quota;
using namespace std::chrono_literals;

static constexpr auto QuotaSeeds = {1U, 2U, 3U};

/// Callers as they are met: a few large ones, many with less than one request a second on a host, one without a burst.
static constexpr auto Quotas =
        std::array{config::RequestQuota{353, 353}, config::RequestQuota{27, 27},
                   config::RequestQuota{3, 3}, config::RequestQuota{40, 0}};

/// Against what a caller usually sends, which is the quota by 1.6.
static auto demandOf(const config::RequestQuota &quota, double times) -> double
{
    return quota.requestsPerSecond / 1.6 * times;
}

template <typename Policy>
using Play = std::function<void(VirtualHosts<Policy> &)>;

struct Fault
{
    const char *name;
    Play<GrantorPolicy> play;
};

/// Deaths are noticed after about this time.
static constexpr auto Detection = 2s;

template <typename Policy>
static auto killATenth(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    for (auto index = std::size_t{0}; index < n / 10 + 1; ++index)
        hosts.kill(index);
    hosts.run(Detection);
    hosts.shareView();
    hosts.run(5s);
}

template <typename Policy>
static auto cutInTwo(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    hosts.cutAt(n / 3);
    hosts.run(Detection);
    hosts.shareView();
    hosts.run(6s);
    hosts.cutAt(0);
    hosts.run(1s);
    hosts.shareView();
    hosts.run(6s);
}

/// Hosts of another failure domain are not given up while the domain as a whole is out of reach.
template <typename Policy>
static auto cutUnnoticed(VirtualHosts<Policy> &hosts, std::size_t border) -> void
{
    hosts.cutAt(border);
    hosts.run(6s);
    hosts.cutAt(0);
    hosts.run(2s);
}

/// One side gives the other up, and is not given up itself.
template <typename Policy>
static auto cutNoticedByOneSide(VirtualHosts<Policy> &hosts, std::size_t border) -> void
{
    hosts.cutAt(border);
    hosts.run(Detection);
    hosts.shareView(border);
    hosts.run(3s);
    hosts.cutAt(0);
    hosts.run(1s);
    hosts.shareView();
    hosts.run(4s);
}

template <typename Policy>
static auto cutOffAThird(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    for (auto index = std::size_t{0}; index < n / 3; ++index)
        hosts.cutOff(index, true);
    hosts.run(Detection);
    hosts.shareView();
    hosts.run(6s);
}

template <typename Policy>
static auto restartAll(VirtualHosts<Policy> &hosts, std::size_t n) -> void
{
    for (auto index = std::size_t{0}; index < n; ++index)
        hosts.kill(index);
    hosts.run(1s);
    for (auto index = std::size_t{0}; index < n; ++index)
        hosts.start(index);
    hosts.run(1s);
    hosts.shareView();
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
            {"a tenth ends", [n](auto &hosts) { killATenth(hosts, n); }},
            {"cut in two", [n](auto &hosts) { cutInTwo(hosts, n); }},
            {"a third behind a cut that is not noticed",
             [n](auto &hosts) { cutUnnoticed(hosts, n / 3); }},
            {"two thirds behind it", [n](auto &hosts) { cutUnnoticed(hosts, n - n / 3); }},
            {"a cut that one side notices",
             [n](auto &hosts) { cutNoticedByOneSide(hosts, n / 3); }},
            {"a third is cut off", [n](auto &hosts) { cutOffAThird(hosts, n); }},
            {"all restart", [n](auto &hosts) { restartAll(hosts, n); }},
            {"some are paused", [n](auto &hosts) { pauseSome(hosts, n); }},
    };
}

Test(QuotaPromise, noMoreThanTheQuotaRunsWhateverACallerSends)
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
                fault.play(hosts);
                for (const auto &it : hosts.callers())
                    cr_expect_leq(static_cast<double>(it.window.most), QuotaPromise::most(it.quota),
                                  "%u hosts, %s, %.1f times, rate %.0f: %zu of %.0f", n, fault.name,
                                  times, it.quota.requestsPerSecond, it.window.most,
                                  QuotaPromise::most(it.quota));
            }
        }
    }
}

Test(QuotaPromise, nothingIsRefusedBelowTheQuota)
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

/// Its rate and a fifth of its burst a caller may send for as long as it likes: in five seconds that is its rate for five and its
/// burst once.
Test(QuotaPromise, aLongSurgeWithinRateAndBurstIsServedWhole)
{
    for (const auto seed : QuotaSeeds) {
        auto hosts = VirtualHosts<>(68, seed);
        auto &caller = hosts.addCaller("c", {353, 353}, 353 * 1.1);
        hosts.run(20s);
        cr_expect_eq(caller.refused, 0, "seed %u: %zu of %zu", seed, caller.refused,
                     caller.offered);
    }
}

/// A caller that sends too much still has what it pays for.
Test(QuotaPromise, aCallerAboveItsQuotaIsServedItsQuota)
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

/// What the hosts refuse for other reasons does not use the quota up.
Test(QuotaPromise, whatDoesNotRunIsGivenBack)
{
    auto hosts = VirtualHosts<>(68, 1);
    auto &caller = hosts.addCaller("c", {100, 100}, 150);
    hosts.shedShare = 0.4;
    hosts.run(15s);
    cr_expect_eq(caller.refused, 0, "%zu of %zu", caller.refused, caller.offered);
}

struct GrantsWholeQuotaOnEachSide : GrantorPolicy
{
    static constexpr auto SharesByHostsSeen = false;
};

struct TakesOverFull : GrantorPolicy
{
    static constexpr auto TakesOverEmpty = false;
};

template <typename Policy>
static auto fullestWindow(const std::function<void(VirtualHosts<Policy> &)> &play) -> double
{
    auto hosts = VirtualHosts<Policy>(68, 1);
    auto &caller = hosts.addCaller("c", {353, 353}, demandOf({353, 353}, 7.5));
    hosts.run(5s);
    play(hosts);
    return static_cast<double>(caller.window.most);
}

/// A third of the hosts comes back and takes its callers over from others while these callers begin to send too much.
template <typename Policy>
static auto fullestWindowOfATakeover() -> double
{
    auto hosts = VirtualHosts<Policy>(68, 1);
    for (auto n = 0; n < 12; ++n)
        hosts.addCaller("c" + std::to_string(n), {353, 353}, 0);
    for (auto index = std::size_t{0}; index < 23; ++index)
        hosts.kill(index);
    hosts.shareView();
    hosts.run(2s);
    for (auto index = std::size_t{0}; index < 23; ++index)
        hosts.start(index);
    hosts.shareView();
    hosts.run(1s);
    for (auto &it : hosts.callers())
        it.demand = demandOf(it.quota, 7.5);
    hosts.run(6s);
    auto most = std::uint64_t{0};
    for (const auto &it : hosts.callers())
        most = std::max(most, it.window.most);
    return static_cast<double>(most);
}

Test(QuotaPromise, eachGuardIsNoticedWhenItIsMissing)
{
    const auto most = QuotaPromise::most({353, 353});
    cr_expect_gt(
            fullestWindow<GrantsWholeQuotaOnEachSide>([](auto &hosts) { cutInTwo(hosts, 68); }),
            most);
    cr_expect_gt(fullestWindowOfATakeover<TakesOverFull>(), most);
    cr_expect_leq(fullestWindowOfATakeover<GrantorPolicy>(), most);
}

Test(QuotaPromise, aLowerLimitBindsAWindowLater)
{
    auto hosts = VirtualHosts<>(68, 1);
    auto &caller = hosts.addCaller("c", {353, 353}, demandOf({353, 353}, 1.5));
    hosts.run(5s);
    caller.quota = {30, 30};
    hosts.run(1s);
    caller.window = {};
    hosts.run(10s);
    cr_expect_leq(static_cast<double>(caller.window.most), QuotaPromise::most(caller.quota));
}
