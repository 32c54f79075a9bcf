// Compares two ways to enforce a caller's quota over all hosts under the same load, on a virtual clock: an even share of the
// quota at each host, and tokens that one grantor for each caller grants for a short time.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "../../quota/VirtualHosts.h"

using namespace stairspur;
using namespace stairspur::quota;

/// Bytes of UDP, IP and the topic in each datagram.
static constexpr auto FrameBytes = 48.0;
/// Ratio of a quota to the usual demand of its caller.
static constexpr auto QuotaOverUsual = 1.6;
static constexpr auto Seconds = 12;

struct Result
{
    double window = 0;   ///< Fullest window of any caller, relative to its maximum.
    double refused = 0;  ///< Share of refused requests.
    double delayed = 0;  ///< Share of requests that waited for more than 10 ms.
    double messages = 0; ///< Per host and second.
    double bytes = 0;    ///< Per host and second.
};

/// Returns the quotas of a few large callers and many small ones: rates fall with the rank, which is typical.
static auto quotasOf(int callers) -> std::vector<config::RequestQuota>
{
    auto quotas = std::vector<config::RequestQuota>();
    for (auto rank = 1; rank <= callers; ++rank)
        quotas.push_back({400.0 / rank, 400.0 / rank});
    return quotas;
}

/// Returns a caller's demand relative to its usual demand: `times` for the first caller and one in the middle, `others` for the
/// rest.
static auto factorOf(int index, int callers, double times, double others) -> double
{
    return index == 0 || index == callers / 2 ? times : others;
}

static auto measureTokens(std::size_t hosts, int callers, double times, double others) -> Result
{
    auto virtualHosts = VirtualHosts<>(hosts, 1);
    for (const auto &quota : quotasOf(callers))
        virtualHosts.addCaller("c" + std::to_string(virtualHosts.callers().size()), quota, 0);
    auto index = 0;
    for (auto &it : virtualHosts.callers())
        it.demand = it.quota.requestsPerSecond / QuotaOverUsual
                    * factorOf(index++, callers, times, others);
    virtualHosts.run(std::chrono::seconds(Seconds));
    auto result = Result();
    auto offered = 0.0;
    for (const auto &it : virtualHosts.callers()) {
        result.window = std::max(result.window, static_cast<double>(it.window.maxRuns)
                                                        / QuotaGuarantee::maxRequests(it.quota));
        result.refused += static_cast<double>(it.refused);
        result.delayed += static_cast<double>(it.delayed);
        offered += static_cast<double>(it.offered);
    }
    result.refused /= offered;
    result.delayed /= offered;
    result.messages =
            static_cast<double>(virtualHosts.messages) / static_cast<double>(hosts) / Seconds;
    result.bytes = static_cast<double>(virtualHosts.bytes) / static_cast<double>(hosts) / Seconds
                   + FrameBytes * result.messages;
    return result;
}

/// Token bucket of one host's even share.
struct ShareBucket
{
    double tokens;
    TimePoint filledAt;
};

static auto measureShares(std::size_t hosts, int callers, double times, double others) -> Result
{
    static constexpr auto Step = 0.001;
    auto random = Random(1);
    auto result = Result();
    auto offered = 0.0;
    auto index = 0;
    for (const auto &quota : quotasOf(callers)) {
        const auto demand = quota.requestsPerSecond / QuotaOverUsual
                            * factorOf(index++, callers, times, others);
        const auto n = static_cast<double>(hosts);
        const auto depth = std::max(quota.burst / n, 1.0);
        auto now = TimePoint{Duration{1'000'000}};
        auto buckets = std::vector<ShareBucket>(hosts, {depth, now});
        auto window = WindowCounter();
        auto due = 0.0;
        for (auto step = 0; step < Seconds * 1000; ++step) {
            now += Duration{1'000};
            due += demand * Step;
            for (; due >= 1; due -= 1) {
                offered += 1;
                auto &bucket = buckets[randomBelow(random, hosts)];
                const auto seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
                bucket.tokens =
                        std::min(bucket.tokens + seconds * quota.requestsPerSecond / n, depth);
                bucket.filledAt = now;
                if (bucket.tokens < 1) {
                    result.refused += 1;
                    continue;
                }
                bucket.tokens -= 1;
                window.addRun(now);
            }
        }
        result.window = std::max(result.window, static_cast<double>(window.maxRuns)
                                                        / QuotaGuarantee::maxRequests(quota));
    }
    result.refused /= offered;
    return result;
}

auto main() -> int
{
    std::printf("| hosts | callers | load | shares: window | refused | tokens: window | refused | "
                "delayed | messages | B/s |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    struct
    {
        const char *name;
        double times;
        double others;
    } const loads[] = {{"usual", 1, 1},
                       {"surge of 1.5", 1.5, 1.5},
                       {"two hot, 7.5 times", 7.5, 1},
                       {"two hot, 50 times", 50, 1}};
    for (const auto hosts : {15U, 68U, 200U, 2000U}) {
        for (const auto callers : {76, 10'000}) {
            if (callers > 76 && hosts != 200)
                continue; // The cost of many callers is measured with one number of hosts.
            for (const auto &load : loads) {
                const auto shares = measureShares(hosts, callers, load.times, load.others);
                const auto tokens = measureTokens(hosts, callers, load.times, load.others);
                std::printf("| %u | %d | %s | %.2f | %.4f | %.2f | %.4f | %.4f | %.1f | %.0f |\n",
                            hosts, callers, load.name, shares.window, shares.refused, tokens.window,
                            tokens.refused, tokens.delayed, tokens.messages, tokens.bytes);
                std::fflush(stdout);
            }
        }
    }
    return EXIT_SUCCESS;
}
