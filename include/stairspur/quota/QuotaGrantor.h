#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/quota/AliveNodes.h>
#include <stairspur/quota/GrantWindow.h>
#include <stairspur/quota/Messages.h>
#include <stairspur/quota/QuotaSettings.h>

namespace stairspur::quota {

/// Safeguards of the grantor. Tests disable one at a time to show that they detect its absence.
struct GrantorPolicy
{
    /// In a network partition each side grants in proportion to the hosts that it sees alive, so that both sides together
    /// grant no more than the quota.
    static constexpr auto ScalesByAliveHosts = true;
    /// A grantor that takes over from another one starts with an empty bucket. So does a grantor that has just started: after
    /// a restart of all hosts each one is its own grantor for all callers until the other hosts are in its membership table. In
    /// a simulated restart of 22 hosts with full buckets, 1,505 requests of one caller ran in 5 s where 1,063 are allowed.
    static constexpr auto StartsEmptyAtTakeover = true;
};

/// Grants the tokens of the callers whose grantor this node is. Performs no I/O; belongs to one thread.
///
/// In any five seconds a caller may use its rate for five seconds and its whole burst, so that it may permanently use its rate
/// and a fifth of its burst each second. A bucket that fills at the rate alone refused 18 % of a surge within that limit. So
/// each caller has a bucket that fills at the higher rate, which distributes refusals evenly, and a window of the granted
/// tokens, which limits their sum.
template <typename Policy = GrantorPolicy>
class BasicQuotaGrantor
{
public:
    BasicQuotaGrantor(QuotaSettings settings, TimePoint startedAt)
        : m_settings(settings)
        , m_startedAt(startedAt)
        , m_nodes(settings.rejoinMaturity, startedAt)
    {}

    /// Sets the hosts that are alive, including this one.
    auto setNodes(const std::vector<AliveNode> &nodes, TimePoint now) -> void
    {
        m_nodes.setNodes(nodes, now);
        countHosts(now);
    }

    /// Returns the tokens that the caller's quota has for a host's request, after taking back the tokens that it returns.
    auto grantTokens(const TokenRequest &request, const config::RequestQuota &quota, TimePoint now)
            -> TokenGrant
    {
        removeIdle(now);
        if (now >= m_nextMaturity)
            countHosts(now);
        auto &account = accountOf(request, quota, now);
        if (now < account.grantsFrom && Policy::StartsEmptyAtTakeover)
            return {.number = request.number, .caller = request.caller, .isGrantor = false};
        refill(account, quota, now);
        const auto capacity = bucketCapacity(quota) * shareAt(now);
        account.tokens = std::min(account.tokens + request.returned, capacity);
        account.window.remove(request.returned, now);
        const auto room =
                std::max(maxInWindow(quota) * shareAt(now) - account.window.sum(now), 0.0);
        auto grant = TokenGrant{request.number, request.caller, 0, Duration::zero(), true};
        grant.granted = std::min(request.wanted,
                                 static_cast<std::uint32_t>(std::min(account.tokens, room)));
        account.tokens -= grant.granted;
        account.window.add(grant.granted, now);
        account.refused += request.wanted - grant.granted;
        if (grant.granted < request.wanted)
            grant.retryAfter = waitTimeOf(account, quota, now);
        return grant;
    }

    /// Returns the number of callers that have an account.
    [[nodiscard]] auto accounts() const -> std::size_t { return m_accounts.size(); }

private:
    struct Account
    {
        double tokens = 0;
        double refused = 0; ///< Tokens requested and not granted in about the last second.
        TimePoint filledAt;
        /// Until this time nothing is granted: the previous grantor may be in another partition and still grant.
        TimePoint grantsFrom{};
        /// Until this time the bucket fills at a part of the rate: this node doesn't have the previous grantor's window.
        TimePoint fullRateAt{};
        GrantWindow window;
    };

    /// Number of hosts that a node assumes at least while it has just started. After a restart of all hosts, those of one
    /// failure domain have each other in their membership tables before those of other domains. Without this minimum each
    /// domain had a grantor that granted the whole quota: 2,979 requests of a caller ran in 5 s where 2,964 are allowed.
    static constexpr auto MinHostsAtStart = 64.0;
    /// Time for which hosts that are no longer alive still count: after it their callers use other hosts.
    static constexpr auto MaxHostsMemory = Duration{600'000'000};
    /// A grantor that takes over while it sees a smaller share of the hosts than this is on one side of a network partition, and
    /// the other side may not have detected it. The grantor waits for one window, in which hosts use their even share.
    static constexpr auto MinShareToTakeOver = 0.9;
    /// Hosts that start at the same time have each other in their membership tables after about a second.
    static constexpr auto StartupTime = Duration{3'000'000};
    /// Share of the rate that is granted for one window after a takeover. Hosts detect a takeover within about a second, and
    /// until then both grantors grant. With the whole rate, 188 requests of a caller ran in 5 s where 185 are allowed, while
    /// a third of the hosts was replaced one after the other.
    static constexpr auto TakeoverShare = 0.7;
    static constexpr auto GuaranteeSeconds = 5.0;
    static constexpr auto UsedExcess = 0.01;
    static constexpr auto UsedSlack = 10.0;
    static constexpr auto MinWait = Duration{50'000};
    static constexpr auto MaxWait = Duration{5'000'000};
    static constexpr auto CleanupInterval = Duration{10'000'000};

    /// Counts the mature hosts and updates the maximum.
    auto countHosts(TimePoint now) -> void
    {
        m_hosts = static_cast<double>(m_nodes.mature(now).size());
        m_nextMaturity = m_nodes.nextMaturity(now);
        if (m_hosts < m_maxHosts && now - m_maxHostsAt <= MaxHostsMemory)
            return;
        m_maxHosts = m_hosts;
        m_maxHostsAt = now;
    }

    /// Returns the share of the quota that this node may grant, 0 to 1.
    [[nodiscard]] auto shareAt(TimePoint now) const -> double
    {
        return Policy::ScalesByAliveHosts ? m_hosts / std::max(m_maxHosts, minHostsAt(now)) : 1.0;
    }

    [[nodiscard]] auto minHostsAt(TimePoint now) const -> double
    {
        return now - m_startedAt < StartupTime ? MinHostsAtStart : 1.0;
    }

    /// Returns the caller's account; a new one starts with a full bucket unless this node takes over from another grantor.
    auto accountOf(const TokenRequest &request, const config::RequestQuota &quota, TimePoint now)
            -> Account &
    {
        const auto [it, isNew] = m_accounts.try_emplace(request.caller);
        if (isNew) {
            it->second.filledAt = now;
            const auto isTakeover = request.hasChangedGrantor || now - m_startedAt < StartupTime;
            if (!isTakeover || !Policy::StartsEmptyAtTakeover)
                it->second.tokens = bucketCapacity(quota) * shareAt(now);
        }
        if (request.hasChangedGrantor && Policy::StartsEmptyAtTakeover)
            it->second.fullRateAt = now + GrantWindow::Length;
        if (isNew && request.hasChangedGrantor && shareAt(now) < MinShareToTakeOver)
            it->second.grantsFrom = now + GrantWindow::Length;
        return it->second;
    }

    auto refill(Account &account, const config::RequestQuota &quota, TimePoint now) -> void
    {
        const auto seconds = std::chrono::duration<double>(now - account.filledAt).count();
        if (seconds <= 0)
            return;
        account.filledAt = now;
        account.tokens += seconds * fillRate(account, quota, now);
        account.refused = std::max(account.refused * (1 - seconds), 0.0);
    }

    /// Returns the requests that the quota allows in the five seconds that the guarantee covers.
    [[nodiscard]] static auto allowedInWindow(const config::RequestQuota &quota) -> double
    {
        return quota.requestsPerSecond * GuaranteeSeconds + quota.burst;
    }

    /// Returns the tokens that may be granted in a window. The guarantee allows a tenth and 20 requests on top of the quota; most
    /// of that is left for hosts whose grantor does not respond.
    [[nodiscard]] static auto maxInWindow(const config::RequestQuota &quota) -> double
    {
        return allowedInWindow(quota) * (1 + UsedExcess) + UsedSlack;
    }

    /// Returns the rate at which the bucket fills, in tokens per second.
    [[nodiscard]] auto fillRate(const Account &account, const config::RequestQuota &quota,
                                TimePoint now) const -> double
    {
        const auto fullRate = allowedInWindow(quota) / GuaranteeSeconds;
        const auto takeoverRate = quota.requestsPerSecond * TakeoverShare;
        const auto rate = now < account.fullRateAt ? takeoverRate : fullRate;
        return rate * shareAt(now);
    }

    /// Returns the time until there is a token for each request refused in the last second: most earlier retries would be
    /// refused again.
    [[nodiscard]] auto waitTimeOf(Account &account, const config::RequestQuota &quota,
                                  TimePoint now) -> Duration
    {
        const auto rate = std::max(fillRate(account, quota, now), 0.001);
        const auto seconds = (account.refused + 1 - account.tokens) / rate;
        const auto fill = std::chrono::duration<double>(std::min(seconds, 3600.0));
        auto wait = std::chrono::duration_cast<Duration>(fill);
        if (account.tokens >= 1)
            wait = std::max(wait, account.window.timeUntilExpiry(now));
        return std::clamp(wait, MinWait, MaxWait);
    }

    /// Removes the accounts that have been idle for too long.
    auto removeIdle(TimePoint now) -> void
    {
        if (now - m_cleanedUpAt < CleanupInterval)
            return;
        m_cleanedUpAt = now;
        std::erase_if(m_accounts, [&](const auto &it) {
            return now - it.second.filledAt > m_settings.idleTime;
        });
    }

    QuotaSettings m_settings;
    TimePoint m_startedAt;
    AliveNodes m_nodes;
    TimePoint m_nextMaturity = TimePoint::max();
    double m_hosts = 1;    ///< Mature hosts.
    double m_maxHosts = 1; ///< Maximum number of hosts that were alive at the same time.
    TimePoint m_maxHostsAt{};
    TimePoint m_cleanedUpAt{};
    std::unordered_map<std::string, Account> m_accounts;
};

/// The grantor with all safeguards, as nodes use it.
using QuotaGrantor = BasicQuotaGrantor<>;

} // namespace stairspur::quota
