#pragma once

#include <optional>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>
#include <stairspur/retry/RetryDemand.h>
#include <stairspur/retry/RetryWindow.h>

namespace stairspur::retry {

/// The limits of a service's bucket. One token allows one retry.
struct BucketLimits
{
    double successShare = 0; ///< Tokens that each success adds.
    double requestShare = 0; ///< Tokens that each request adds, regardless of its outcome.
    double size = 0;         ///< Maximum number of tokens in the bucket.
    /// Length of the time window in which retries are limited to `requestShare` of the requests plus `size`. With 0,
    /// only the tokens in the bucket limit retries.
    Duration window{0};

    auto operator==(const BucketLimits &) const -> bool = default;
};

/// Limits retries to a share of the successes or requests of a service, so that a failing service is not overloaded by
/// retries.
///
/// With a window, tokens are added from the allowance of the window at an even rate, so that a fault that lasts several
/// seconds does not empty the bucket in the first one.
///
/// While tokens are scarce, they are granted by precedence (see RetryPrecedence.h) down to a floor at which the demand
/// equals the supply. Few root requests then get all the tokens that they need, instead of many that get one or two
/// each and fail with another call.
class RetryTokenBucket
{
public:
    /// Creates a full bucket.
    explicit RetryTokenBucket(const BucketLimits &limits);
    RetryTokenBucket(double successShare, double size)
        : RetryTokenBucket(BucketLimits{successShare, 0, size})
    {}

    /// Replaces the limits after a change of the configuration or of the fleet size. Tokens above the new size are
    /// dropped.
    auto setLimits(const BucketLimits &limits) -> void;

    /// Sets the time of the events recorded from now on, and adds the tokens that the elapsed time allows.
    auto advanceTo(TimePoint now) -> void;

    /// Records a request to the service.
    auto didRequest() -> void;
    /// Records a request that succeeded.
    auto didSucceed() -> void;

    /// Takes a token. Returns false if there is none.
    auto tryTake() -> bool;

    /// Records that a call of this precedence needs a token, whether or not it gets one.
    auto recordDemand(Level precedence) -> void { m_demand.recordDemand(precedence); }

    /// Returns whether there is a token that a call of this precedence may take.
    [[nodiscard]] auto hasTokenFor(Level precedence) const -> bool;

    /// Takes a token for a call that was sent as a repeat because the call above it is one. Such a call cannot be
    /// refused, so the number of tokens may become negative.
    auto chargeRepeat() -> void;

    /// Returns the lowest precedence that may take a token.
    [[nodiscard]] auto floor() const -> Level { return m_demand.floor(); }

    /// Returns the number of tokens. It is negative after more repeats than there were tokens.
    [[nodiscard]] auto tokens() const -> double { return m_tokens; }

private:
    auto add(double tokens) -> void;
    auto refill(Duration elapsed) -> void;
    /// Returns the current maximum number of tokens.
    [[nodiscard]] auto capacity() const -> double;

    BucketLimits m_limits;
    std::optional<RetryWindow> m_window;
    RetryDemand m_demand;
    TimePoint m_now{};
    TimePoint m_refilledAt{};
    double m_allowance = 0; ///< Allowance of the window at the last refill.
    double m_added = 0;     ///< Tokens added since the last refill.
    double m_tokensPerSecond = 0;
    double m_tokens;
};

} // namespace stairspur::retry
