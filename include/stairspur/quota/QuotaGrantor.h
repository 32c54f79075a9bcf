#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Hash.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/quota/AliveNodes.h>
#include <stairspur/quota/GrantWindow.h>
#include <stairspur/quota/GrantorSelector.h>
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
    /// A grantor that was suspended grants nothing until the other nodes can select it again: meanwhile they may have selected
    /// another one, which still grants.
    static constexpr auto ResignsAfterSuspension = true;
    /// A host that changes its grantor sends the tokens that it has used within the window to the new grantor, which counts
    /// them as its own.
    static constexpr auto CountsHistories = true;
    /// A node grants tokens of a caller only if it selects itself as the grantor, unless a host changes to it.
    static constexpr auto ChecksSelection = true;
    /// A grantor whose hosts change to another one leaves most of the rate to that one.
    static constexpr auto YieldsToSuccessor = true;
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
    /// `epoch` differs between processes and is not 0.
    BasicQuotaGrantor(QuotaSettings settings, NodeId ownNode, TimePoint startedAt,
                      std::uint64_t epoch)
        : m_settings(settings)
        , m_ownNode(std::move(ownNode))
        , m_startedAt(startedAt)
        , m_epoch(epoch)
        , m_nodes(settings.rejoinMaturity, startedAt)
        , m_selector(settings.maturity, startedAt)
    {}

    /// Sets the hosts that are alive, including this one.
    auto setNodes(const std::vector<AliveNode> &nodes, TimePoint now) -> void
    {
        m_nodes.setNodes(nodes, now);
        m_selector.setNodes(nodes, now);
        countHosts(now);
    }

    /// Records that this node was suspended.
    auto didResume(TimePoint now) -> void
    {
        if (!Policy::ResignsAfterSuspension)
            return;
        m_nodes.didResume(m_ownNode, now);
        m_selector.didResume(m_ownNode, now);
        countHosts(now);
        m_accounts.clear();
        ++m_epoch;
        m_resignedUntil = now + m_settings.maturity;
    }

    /// Returns the tokens that the caller's quota has for a request of the host `from`, after taking back the tokens that it
    /// returns.
    auto grantTokens(const NodeId &from, const TokenRequest &request,
                     const config::RequestQuota &quota, TimePoint now) -> TokenGrant
    {
        removeIdle(now);
        if (now >= m_nextMaturity)
            countHosts(now);
        auto grant =
                TokenGrant{.number = request.number, .caller = request.caller, .epoch = m_epoch};
        grant.isGrantor = now >= m_resignedUntil && isGrantorFor(request, now);
        grant.needsHistory = grant.isGrantor && lacksHistory(request);
        if (request.isLeaving)
            yieldToSuccessor(request.caller, now);
        if (!grant.isGrantor || grant.needsHistory || request.isLeaving)
            return grant;
        auto &account = accountOf(request, quota, now);
        countHistory(account, from, request, now);
        if (now < account.grantsFrom && Policy::StartsEmptyAtTakeover) {
            grant.isGrantor = false;
            return grant;
        }
        refill(account, quota, now);
        const auto capacity = bucketCapacity(quota) * shareAt(now);
        account.tokens = std::min(account.tokens + request.returned, capacity);
        account.window.remove(request.returned, now);
        const auto room =
                std::max(maxInWindow(quota) * shareAt(now) - account.window.sum(now), 0.0);
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
        /// Until this time the bucket fills at a part of the rate: the previous grantor may still grant to other hosts.
        TimePoint fullRateAt{};
        /// Until this time the bucket fills at the rest of the rate: hosts have changed to a successor.
        TimePoint yieldsUntil{};
        GrantWindow window;
        /// When the history of a host was last counted, by the hash of its id.
        std::unordered_map<std::uint64_t, TimePoint> countedHistories{};
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
    /// Time in which a host repeats a request whose answer was lost. Its history must not be counted again.
    static constexpr auto HistoryRepeatTime = Duration{500'000};
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
            const auto isFull = now - m_startedAt >= StartupTime && !hasUsedTokens(request);
            if (isFull || !Policy::StartsEmptyAtTakeover)
                it->second.tokens = bucketCapacity(quota) * shareAt(now);
        }
        if (request.hasChangedGrantor && Policy::StartsEmptyAtTakeover)
            takeOver(it->second, now);
        if (isNew && request.hasChangedGrantor && shareAt(now) < MinShareToTakeOver)
            it->second.grantsFrom = now + GrantWindow::Length;
        return it->second;
    }

    /// Returns whether the host has used tokens that this grantor does not know of.
    [[nodiscard]] static auto hasUsedTokens(const TokenRequest &request) -> bool
    {
        const auto isUsed = [](auto tokens) { return tokens > 0; };
        return Policy::CountsHistories && request.history
               && std::ranges::any_of(*request.history, isUsed);
    }

    /// Empties the bucket when the first host changes to this grantor, and restarts the time of the reduced rate with each.
    static auto takeOver(Account &account, TimePoint now) -> void
    {
        if (now >= account.fullRateAt)
            account.tokens = 0;
        account.fullRateAt = now + GrantWindow::Length;
        account.yieldsUntil = {};
    }

    auto yieldToSuccessor(const std::string &caller, TimePoint now) -> void
    {
        const auto it = m_accounts.find(caller);
        if (it != m_accounts.end() && Policy::YieldsToSuccessor)
            it->second.yieldsUntil = now + GrantWindow::Length;
    }

    /// Returns whether this node grants the caller's tokens. A host that has just started has an incomplete membership table and
    /// may select a node that is not the caller's grantor.
    [[nodiscard]] auto isGrantorFor(const TokenRequest &request, TimePoint now) -> bool
    {
        return !Policy::ChecksSelection || request.hasChangedGrantor
               || m_accounts.contains(request.caller)
               || m_selector.grantorOf(request.caller, now) == m_ownNode;
    }

    /// Returns whether the host takes this grantor for one that knows its use of tokens, though the accounts are newer. A host
    /// of an older version sends neither epoch nor history.
    [[nodiscard]] auto lacksHistory(const TokenRequest &request) const -> bool
    {
        return Policy::CountsHistories && request.epoch != 0 && request.epoch != m_epoch
               && !request.history;
    }

    static auto countHistory(Account &account, const NodeId &from, const TokenRequest &request,
                             TimePoint now) -> void
    {
        if (!Policy::CountsHistories || !request.history)
            return;
        auto &countedAt = account.countedHistories[hash64(from)];
        if (now - countedAt >= HistoryRepeatTime)
            account.window.add(*request.history, now);
        countedAt = now;
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
        auto rate = fullRate;
        if (now < account.fullRateAt)
            rate = quota.requestsPerSecond * TakeoverShare;
        if (now < account.yieldsUntil)
            rate = std::min(rate, quota.requestsPerSecond * (1 - TakeoverShare));
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
    NodeId m_ownNode;
    TimePoint m_startedAt;
    std::uint64_t m_epoch;
    TimePoint m_resignedUntil{}; ///< Until this time nothing is granted after a suspension.
    AliveNodes m_nodes;
    GrantorSelector m_selector;
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
