#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/quota/GrantWindow.h>
#include <stairspur/quota/GrantorSelector.h>
#include <stairspur/quota/Messages.h>
#include <stairspur/quota/QuotaSettings.h>

namespace stairspur::quota {

/// Identifies an offered request; the user of QuotaHolder chooses it.
using RequestNumber = std::uint64_t;

/// Outcome of an offered request.
struct QuotaDecision
{
    RequestNumber request = 0;
    bool isAdmitted = false;
    Duration retryAfter{0};  ///< For a refused request: time after which it may be retried.
    TimePoint tokenExpiry{}; ///< For an admitted request: when its token expires.
};

/// A message that is to be sent to a grantor.
struct QuotaDatagram
{
    NodeId to;
    std::string payload;
};

/// Admits the requests of callers on this host with tokens, and requests tokens from the callers' grantors.
///
/// Each request needs one token. For a busy caller there are tokens in stock; for others the host sends a message to the grantor
/// and the request waits some milliseconds for the response. When the grantor does not respond, because of a network partition or
/// because it no longer runs, the host admits its even share of the quota until a grantor grants again. Performs no
/// I/O: it takes requests, grants and the time, and yields decisions and datagrams.
class QuotaHolder
{
public:
    QuotaHolder(QuotaSettings settings, std::uint64_t seed, TimePoint startedAt)
        : m_settings(settings)
        , m_startedAt(startedAt)
        , m_selector(settings.maturity, startedAt)
        , m_random(seed)
    {}

    /// Sets the nodes that are alive, including this one.
    auto setNodes(const std::vector<AliveNode> &nodes, TimePoint now) -> void;

    /// Records that `node`, this node, was suspended; see AliveNodes::didResume().
    auto didResume(const NodeId &node, TimePoint now) -> void { m_selector.didResume(node, now); }

    /// Offers a request for admission. takeDecisions() returns the decision, at once or after a later grant or tick.
    auto offer(RequestNumber request, const std::string &caller, const config::RequestQuota &quota,
               TimePoint now) -> void;
    /// Returns the token of an admitted request that did not run, for another request until `tokenExpiry`.
    auto returnToken(const std::string &caller, TimePoint tokenExpiry, TimePoint now) -> void;
    /// Receives a grantor's response. A grant without a pending request is ignored.
    auto receive(const TokenGrant &grant, TimePoint now) -> void;
    /// Detects missing responses and returns unused tokens. Must be called about fifty times a second while isActive().
    auto tick(TimePoint now) -> void;
    /// Returns whether tick() may have work: a request was offered within the last second.
    [[nodiscard]] auto isActive(TimePoint now) const -> bool
    {
        return now - m_offeredAt < ActiveTime;
    }

    /// Returns and clears the decisions made since the last call.
    auto takeDecisions() -> std::vector<QuotaDecision>;
    /// Returns and clears the datagrams to be sent since the last call.
    auto takeDatagrams() -> std::vector<QuotaDatagram>;

    /// Returns the number of callers that have an account.
    [[nodiscard]] auto accounts() const -> std::size_t { return m_accounts.size(); }

private:
    /// Time after which every pending request for tokens has timed out and every token has expired, with a margin.
    static constexpr auto ActiveTime = Duration{1'000'000};

    /// Tokens of one grant, which expire together.
    struct TokenBatch
    {
        std::uint32_t tokens = 0;
        TimePoint end;
    };

    /// A request for tokens that has no response yet.
    struct PendingRequest
    {
        std::uint64_t number = 0;
        NodeId grantor;
        TimePoint sentAt;
        bool isRetry = false; ///< Repeats a request that had no response.
    };

    struct Account
    {
        config::RequestQuota quota;
        std::deque<TokenBatch> batches; ///< Ordered by expiry, earliest first.
        std::deque<RequestNumber> waiting;
        /// Requests for tokens without a response yet; the latest is last.
        std::vector<PendingRequest> pendingRequests;
        TimePoint refusedUntil{};      ///< Requests without a token are refused until then.
        Duration refusalWait{0};       ///< Retry time that callers receive until then.
        TimePoint stockPauseEnd{};     ///< Until then no tokens are requested in advance.
        NodeId grantor;                ///< Receiver of the last request for tokens.
        TimePoint requestedAt{};       ///< Time of the last request for tokens.
        NodeId grantedBy;              ///< Sender of the last grant.
        std::uint64_t epoch = 0;       ///< Epoch of the last grant.
        GrantWindow used;              ///< Tokens of grants and of the even share.
        bool isUsingEvenShare = false; ///< The grantor does not respond or does not grant.
        bool isContended = false; ///< The grantor refused shortly before it stopped responding.
        double demand = 0;        ///< Requests per second, averaged over about a second.
        TimePoint demandAt{};
        double shareTokens = 0; ///< Tokens of the even share.
        TimePoint shareFilledAt{};
    };

    /// Updates the caller's demand with one more request.
    auto updateDemand(Account &account, TimePoint now) -> void;
    /// Removes expired and empty batches.
    static auto removeExpired(Account &account, TimePoint now) -> void;
    /// Returns the number of tokens in stock.
    [[nodiscard]] static auto stockOf(const Account &account) -> std::uint32_t;
    /// Decides on a request. Returns false if the decision needs the next grant.
    auto tryDecide(Account &account, RequestNumber request, TimePoint now) -> bool;
    /// Admits a request with a token in stock. Returns whether there was one.
    auto takeToken(Account &account, RequestNumber request) -> bool;
    /// Admits or refuses a request by this host's even share of the quota.
    auto takeFromShare(Account &account, RequestNumber request, TimePoint now) -> void;
    auto refuse(RequestNumber request, Duration wait) -> void;
    /// Requests tokens if requests wait or the stock is low, unless a request is pending or the caller is refused.
    auto requestTokensIfNeeded(const std::string &caller, Account &account, TimePoint now) -> void;
    /// Informs the grantor of the last request that the next ones go to another node.
    auto leaveGrantor(const std::string &caller, const Account &account) -> void;
    /// Sends a request for tokens to the caller's grantor.
    auto requestTokens(const std::string &caller, Account &account, TimePoint now, bool isRetry)
            -> void;
    /// Decides on as many waiting requests as possible, in their order.
    auto serveWaiting(Account &account, TimePoint now) -> void;
    auto refuseWaiting(Account &account) -> void;
    /// Returns whether the latest request for tokens has had no response for `timeout`.
    static auto hasTimedOut(const Account &account, TimePoint now, Duration timeout) -> bool;
    /// Switches the account to this host's even share of the quota.
    auto switchToEvenShare(Account &account, TimePoint now) -> void;
    /// Handles a missing response: sends the request once more, then goes on without the grantor.
    auto handleTimeout(const std::string &caller, Account &account, TimePoint now) -> void;
    /// Returns tokens that are about to expire to the grantor, so that other hosts can spend them.
    auto returnExpiring(const std::string &caller, Account &account, TimePoint now) -> void;
    /// Returns the tokens that this host may spend at once when its grantor stops responding.
    [[nodiscard]] auto initialShare(const config::RequestQuota &quota) const -> double;

    QuotaSettings m_settings;
    TimePoint m_startedAt;
    GrantorSelector m_selector;
    Random m_random;
    std::size_t m_hosts = 1; ///< Maximum number of hosts that were alive at the same time.
    std::unordered_map<std::string, Account> m_accounts;
    std::vector<QuotaDecision> m_decisions;
    std::vector<QuotaDatagram> m_datagrams;
    TimePoint m_offeredAt{};
    TimePoint m_cleanedUpAt{};
};

} // namespace stairspur::quota
