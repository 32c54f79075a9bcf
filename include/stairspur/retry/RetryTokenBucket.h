#pragma once

#include <optional>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>
#include <stairspur/retry/RetryDemand.h>
#include <stairspur/retry/RetryWindow.h>

namespace stairspur::retry {

/// What fills a service's bucket.
struct BucketLimits
{
    double successShare = 0; ///< Tokens that come with each success.
    double requestShare = 0; ///< Tokens that come with each request, whatever becomes of it.
    double size = 0;         ///< Tokens that the bucket holds at most.
    /// Over which retries are bounded to `requestShare` of the requests and `size` more; 0: only by what flows in and out.
    Duration window{0};

    auto operator==(const BucketLimits &) const -> bool = default;
};

/// Bounds retries to a share of the successes or requests of a service, so that a failing service is not flooded by
/// retries.
///
/// With a window, tokens come from what the window still allows: at an even pace, so that trouble of some seconds does not
/// find the bucket empty after the first.
///
/// When tokens are short they go by precedence (see RetryPrecedence.h), down to a floor at which what is wanted meets what
/// there is: few roots are served whole, and not many given a token or two of which each fails with some other call.
class RetryTokenBucket
{
public:
    explicit RetryTokenBucket(const BucketLimits &limits);
    RetryTokenBucket(double successShare, double size)
        : RetryTokenBucket(BucketLimits{successShare, 0, size})
    {}

    /// Other limits from a newer configuration or another size of the fleet; tokens above the new size are lost.
    auto setLimits(const BucketLimits &limits) -> void;

    /// Tells the time of everything that follows, and adds the tokens that have come with it.
    auto didPassTime(TimePoint now) -> void;

    auto didRequest() -> void;
    auto didSucceed() -> void;

    /// Takes a token, or says that none is left.
    auto tryTake() -> bool;

    /// A call of this precedence wants a token, whether it gets one or not.
    auto didWant(Level precedence) -> void { m_demand.didWant(precedence); }

    /// Whether there is a token, and a call of this precedence may have it.
    [[nodiscard]] auto hasTokenFor(Level precedence) const -> bool;

    /// A call was sent that is a repeat already, because the call above it is one. It cannot be refused, so the bucket may
    /// run into debt.
    auto didRepeat() -> void;

    /// The lowest precedence that may have a token.
    [[nodiscard]] auto floor() const -> Level { return m_demand.floor(); }

    [[nodiscard]] auto tokens() const -> double { return m_tokens; }

private:
    auto add(double tokens) -> void;
    auto refill(Duration elapsed) -> void;
    /// What the bucket holds at most now.
    [[nodiscard]] auto capacity() const -> double;

    BucketLimits m_limits;
    std::optional<RetryWindow> m_window;
    RetryDemand m_demand;
    TimePoint m_now{};
    TimePoint m_refilledAt{};
    double m_allowance = 0; ///< Of the window, when it was last asked.
    double m_added = 0;     ///< Since the last refill.
    double m_tokensPerSecond = 0;
    double m_tokens;
};

} // namespace stairspur::retry
