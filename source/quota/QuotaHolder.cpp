#include <stairspur/quota/QuotaHolder.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace stairspur::quota {

/// Time over which demand is averaged, in seconds.
static constexpr auto DemandSeconds = 1.0;
/// Time before their expiry at which unspent tokens are returned, so that the grantor receives them while they are valid.
static constexpr auto ReturnMargin = Duration{50'000};
/// Requests that all hosts without a grantor together may admit at once, out of the excess that the guarantee allows: this
/// number, and the rate for this time in seconds. The rest of the excess is for tokens that are granted but not yet spent.
static constexpr auto InitialShareRequests = 5.0;
static constexpr auto InitialShareSeconds = 0.1;
/// Part of the even share that a host uses if the grantor refused requests in its last responses: it may still grant the whole
/// quota to other hosts. With two thirds of the hosts cut off, the guarantee leaves room for about 0.05: 5 s x 2/3 x 0.05 =
/// 0.17 s of the rate. With a quarter, 3,461 requests of a caller ran in 5 s where 3,445 are allowed.
static constexpr auto ContendedShare = 0.05;
/// Time for which a refusal is taken as a sign that the caller exceeds its quota.
static constexpr auto ContentionTime = Duration{5'000'000};
/// Retry time of refusals while the grantor does not respond: about the time in which other nodes detect that it is gone.
static constexpr auto UnresponsiveRetryAfter = Duration{1'000'000};
/// Time after its start in which a host fills its membership table. A grantor that it queried meanwhile, selected from the few
/// nodes in the table, has granted almost nothing, so that a change of the grantor is not reported.
static constexpr auto StartupTime = Duration{3'000'000};
static constexpr auto CleanupInterval = Duration{10'000'000};

static auto secondsOf(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto QuotaHolder::setNodes(const std::vector<AliveNode> &nodes, TimePoint now) -> void
{
    m_selector.setNodes(nodes, now);
    m_hosts = std::max(m_hosts, nodes.size());
}

auto QuotaHolder::takeDecisions() -> std::vector<QuotaDecision>
{
    return std::exchange(m_decisions, {});
}

auto QuotaHolder::takeDatagrams() -> std::vector<QuotaDatagram>
{
    return std::exchange(m_datagrams, {});
}

auto QuotaHolder::updateDemand(Account &account, TimePoint now) -> void
{
    const auto left = 1 - secondsOf(now - account.demandAt) / DemandSeconds;
    account.demand = account.demand * std::max(left, 0.0) + 1 / DemandSeconds;
    account.demandAt = now;
}

auto QuotaHolder::removeExpired(Account &account, TimePoint now) -> void
{
    std::erase_if(account.batches,
                  [now](const auto &it) { return it.end <= now || it.tokens == 0; });
}

auto QuotaHolder::stockOf(const Account &account) -> std::uint32_t
{
    auto stock = std::uint32_t{0};
    for (const auto &it : account.batches)
        stock += it.tokens;
    return stock;
}

auto QuotaHolder::refuse(RequestNumber request, Duration wait) -> void
{
    m_decisions.push_back({request, false, wait, {}});
}

auto QuotaHolder::takeToken(Account &account, RequestNumber request) -> bool
{
    if (account.batches.empty())
        return false;
    auto &batch = account.batches.front();
    m_decisions.push_back({request, true, Duration::zero(), batch.end});
    if (--batch.tokens == 0)
        account.batches.pop_front();
    return true;
}

auto QuotaHolder::initialShare(const config::RequestQuota &quota) const -> double
{
    return (InitialShareRequests + InitialShareSeconds * quota.requestsPerSecond)
           / static_cast<double>(m_hosts);
}

auto QuotaHolder::takeFromShare(Account &account, RequestNumber request, TimePoint now) -> void
{
    const auto rate = account.quota.requestsPerSecond / static_cast<double>(m_hosts)
                      * (account.isContended ? ContendedShare : 1.0);
    const auto earned = rate * secondsOf(now - account.shareFilledAt);
    const auto capacity = initialShare(account.quota) + 1;
    account.shareTokens = std::min(account.shareTokens + earned, capacity);
    account.shareFilledAt = now;
    if (account.shareTokens < 1)
        return refuse(request, UnresponsiveRetryAfter);
    account.shareTokens -= 1;
    account.used.add(1, now);
    m_decisions.push_back({request, true, Duration::zero(), now});
}

auto QuotaHolder::offer(RequestNumber request, const std::string &caller,
                        const config::RequestQuota &quota, TimePoint now) -> void
{
    m_offeredAt = now;
    auto &account = m_accounts[caller];
    account.quota = quota;
    updateDemand(account, now);
    removeExpired(account, now);
    if (!tryDecide(account, request, now))
        account.waiting.push_back(request);
    requestTokensIfNeeded(caller, account, now);
}

auto QuotaHolder::tryDecide(Account &account, RequestNumber request, TimePoint now) -> bool
{
    if (takeToken(account, request))
        return true;
    if (now < account.refusedUntil)
        refuse(request, account.refusalWait);
    else if (account.isUsingEvenShare)
        takeFromShare(account, request, now);
    else
        return false;
    return true;
}

auto QuotaHolder::requestTokensIfNeeded(const std::string &caller, Account &account, TimePoint now)
        -> void
{
    if (!account.pendingRequests.empty() || now < account.refusedUntil)
        return;
    if (account.isUsingEvenShare) {
        if (now - account.requestedAt >= m_settings.probeInterval)
            requestTokens(caller, account, now, false);
        return;
    }
    const auto target = account.demand * secondsOf(m_settings.prefetchTime);
    const auto isLow = now >= account.stockPauseEnd && 2.0 * stockOf(account) < std::round(target);
    if (!account.waiting.empty() || isLow)
        requestTokens(caller, account, now, false);
}

auto QuotaHolder::leaveGrantor(const std::string &caller, const Account &account) -> void
{
    auto message = TokenRequest();
    message.caller = caller;
    message.isLeaving = true;
    m_datagrams.push_back({account.grantor, writeMessage(message)});
}

auto QuotaHolder::requestTokens(const std::string &caller, Account &account, TimePoint now,
                                bool isRetry) -> void
{
    const auto grantor = m_selector.grantorOf(caller, now);
    if (grantor.empty())
        return switchToEvenShare(account, now);
    auto message = TokenRequest();
    message.number = m_random();
    message.caller = caller;
    const auto target = std::lround(account.demand * secondsOf(m_settings.prefetchTime));
    const auto stock = static_cast<long>(stockOf(account));
    const auto wanted = static_cast<long>(account.waiting.size()) + std::max(target - stock, 0L);
    message.wanted =
            static_cast<std::uint32_t>(std::clamp(wanted, 1L, static_cast<long>(MaxTokens)));
    const auto hadOtherGrantor = !account.grantor.empty() && account.grantor != grantor
                                 && now - account.requestedAt < m_settings.idleTime;
    message.hasChangedGrantor = hadOtherGrantor && now - m_startedAt >= StartupTime;
    if (message.hasChangedGrantor)
        leaveGrantor(caller, account);
    if (account.grantedBy == grantor)
        message.epoch = account.epoch;
    if (message.epoch == 0)
        message.history = account.used.history(now);
    account.grantor = grantor;
    account.requestedAt = now;
    account.pendingRequests.push_back({message.number, grantor, now, isRetry});
    m_datagrams.push_back({grantor, writeMessage(message)});
}

auto QuotaHolder::receive(const TokenGrant &grant, TimePoint now) -> void
{
    const auto found = m_accounts.find(grant.caller);
    if (found == m_accounts.end())
        return;
    auto &account = found->second;
    const auto pending =
            std::ranges::find(account.pendingRequests, grant.number, &PendingRequest::number);
    if (pending == account.pendingRequests.end())
        return; // The request has timed out; the tokens expire unspent.
    const auto end = pending->sentAt + m_settings.tokenLifetime;
    account.grantedBy = pending->grantor;
    account.epoch = grant.needsHistory ? 0 : grant.epoch;
    account.pendingRequests.clear();
    if (grant.needsHistory)
        return requestTokens(grant.caller, account, now, false);
    if (!grant.isGrantor)
        switchToEvenShare(account, now);
    else
        account.isUsingEvenShare = false;
    if (grant.granted > 0) {
        account.batches.push_back({grant.granted, end});
        account.used.add(grant.granted, now);
    }
    removeExpired(account, now);
    // Requests are refused only for tokens that waiting requests need, not for tokens requested in advance.
    const auto isShort = stockOf(account) < account.waiting.size();
    const auto pause = std::min(grant.retryAfter, m_settings.maxRefusalTime);
    account.stockPauseEnd = now + pause;
    if (isShort && grant.retryAfter > Duration::zero()) {
        account.refusalWait = grant.retryAfter;
        account.refusedUntil = now + pause;
    }
    serveWaiting(account, now);
    requestTokensIfNeeded(grant.caller, account, now);
}

auto QuotaHolder::serveWaiting(Account &account, TimePoint now) -> void
{
    while (!account.waiting.empty() && tryDecide(account, account.waiting.front(), now))
        account.waiting.pop_front();
}

auto QuotaHolder::returnToken(const std::string &caller, TimePoint tokenExpiry, TimePoint now)
        -> void
{
    const auto found = m_accounts.find(caller);
    if (found == m_accounts.end() || tokenExpiry <= now)
        return;
    auto &batches = found->second.batches;
    const auto isLater = [tokenExpiry](const auto &it) { return it.end > tokenExpiry; };
    batches.insert(std::ranges::find_if(batches, isLater), {1, tokenExpiry});
    serveWaiting(found->second, now);
}

auto QuotaHolder::handleTimeout(const std::string &caller, Account &account, TimePoint now) -> void
{
    const auto wasRetry = account.pendingRequests.back().isRetry;
    if (account.isUsingEvenShare) {
        // The timed out request was a probe; the next offered request sends the next one.
        account.pendingRequests.clear();
        return;
    }
    if (!wasRetry)
        return requestTokens(caller, account, now, true);
    switchToEvenShare(account, now);
}

auto QuotaHolder::switchToEvenShare(Account &account, TimePoint now) -> void
{
    account.pendingRequests.clear();
    if (std::exchange(account.isUsingEvenShare, true))
        return;
    account.isContended = now - account.refusedUntil < ContentionTime;
    // Random rounding gives all hosts together the intended sum, even if each host's part is below one token.
    account.shareTokens = std::floor(initialShare(account.quota) + randomUnit(m_random));
    account.shareFilledAt = now;
    serveWaiting(account, now);
}

auto QuotaHolder::hasTimedOut(const Account &account, TimePoint now, Duration timeout) -> bool
{
    return !account.pendingRequests.empty()
           && now - account.pendingRequests.back().sentAt >= timeout;
}

auto QuotaHolder::tick(TimePoint now) -> void
{
    for (auto &[caller, account] : m_accounts) {
        if (hasTimedOut(account, now, m_settings.answerTimeout))
            handleTimeout(caller, account, now);
        returnExpiring(caller, account, now);
    }
    if (now - m_cleanedUpAt < CleanupInterval)
        return;
    m_cleanedUpAt = now;
    std::erase_if(m_accounts, [&](const auto &it) {
        return it.second.waiting.empty() && now - it.second.demandAt > m_settings.idleTime;
    });
}

auto QuotaHolder::returnExpiring(const std::string &caller, Account &account, TimePoint now) -> void
{
    auto returned = std::uint32_t{0};
    for (auto &it : account.batches) {
        if (it.end > now && it.end - now <= ReturnMargin)
            returned += std::exchange(it.tokens, 0U);
    }
    removeExpired(account, now);
    if (returned == 0 || account.grantor.empty())
        return;
    account.used.remove(returned, now);
    auto message = TokenRequest();
    message.caller = caller;
    message.returned = returned;
    m_datagrams.push_back({account.grantor, writeMessage(message)});
}

} // namespace stairspur::quota
