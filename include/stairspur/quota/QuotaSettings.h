#pragma once

#include <algorithm>
#include <cstddef>

#include <stairspur/config/Configuration.h>
#include <stairspur/core/Time.h>

/// Limits the requests of each caller over all hosts together. A grantor, one node for each caller, lends tokens to the hosts;
/// a host spends one for each request.
namespace stairspur::quota {

/// Times that hosts and grantors share. The guarantee of a quota: in any five seconds at most 1.1 times the requests that the
/// quota allows in them, and 20 more, run. Below the quota no request is refused.
struct QuotaSettings
{
    /// Time from a host's request for tokens until those that it has not spent expire. Tokens that are unspent at the start
    /// of a window add to those granted within it: 0.3 s of the rate, where 0.5 s are allowed.
    Duration tokenLifetime{300'000};
    /// Time for which a host requests tokens in advance, so that requests of a busy caller find tokens in stock.
    Duration prefetchTime{100'000};
    /// Time after which a request for tokens or its response counts as lost, or the grantor as gone. The host sends the request
    /// once more and then goes on without a grantor. A round trip between failure domains to a busy grantor takes some
    /// milliseconds.
    Duration answerTimeout{80'000};
    /// Interval at which a grantor that does not respond is queried again.
    Duration probeInterval{250'000};
    /// Maximum time for which a host applies a grantor's refusal, whatever retry time it reports to callers.
    Duration maxRefusalTime{100'000};
    /// Time after which a new node may be selected as a grantor: all others have it in their membership tables by then.
    Duration maturity{2'000'000};
    /// Time after which hosts that are reachable again count for the share that a grantor may grant: none of them sends
    /// requests to another grantor any more.
    Duration rejoinMaturity{3'000'000};
    /// Time without use after which the account of a caller is removed.
    Duration idleTime{30'000'000};
};

/// Returns the capacity of a grantor's bucket, in tokens. A quota without a burst still needs capacity for the requests that
/// arrive at many hosts between two of their messages. The grantor's window limits what is granted, whatever the capacity.
inline auto bucketCapacity(const config::RequestQuota &quota) -> double
{
    // Seconds between two requests for tokens of a host.
    static constexpr auto BetweenRequests = 0.2;
    static constexpr auto MaxExtraTokens = 20.0;
    return quota.burst + std::clamp(quota.requestsPerSecond * BetweenRequests, 1.0, MaxExtraTokens);
}

} // namespace stairspur::quota
