#pragma once

#include <algorithm>

#include <stairspur/core/Time.h>

namespace stairspur {

/// Token bucket that limits the rate of calls. Each call takes a token. `perSecond` tokens are added in each second,
/// and at most `burst` tokens are saved up.
class TokenBucket
{
public:
    /// Creates a full bucket.
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {}

    /// Creates a bucket without tokens, which fills from `now` on.
    static auto emptyAt(TimePoint now, double perSecond, double burst) -> TokenBucket
    {
        auto bucket = TokenBucket(perSecond, burst);
        bucket.m_tokens = 0;
        bucket.m_last = now;
        return bucket;
    }

    /// Changes the rate from `now` on. Tokens above the new burst are dropped.
    auto setRate(double perSecond, double burst, TimePoint now) -> void
    {
        refill(now);
        m_perSecond = perSecond;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    /// Takes a token, if necessary in advance, and returns the time until it may be used.
    auto take(TimePoint now) -> Duration
    {
        refill(now);
        m_tokens -= 1;
        return timeFor(-m_tokens);
    }

    /// Takes a token if one is available. Returns whether it did.
    auto tryTake(TimePoint now) -> bool
    {
        refill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    /// Returns a token that was taken and not used.
    auto giveBack() -> void { m_tokens = std::min(m_tokens + 1, m_burst); }

    /// Returns the time until `n` tokens have been available, counting from `now`, if nobody else takes any.
    auto timeUntil(double n, TimePoint now) -> Duration
    {
        refill(now);
        return timeFor(n - m_tokens);
    }

    /// Returns the number of tokens that are added in each second.
    [[nodiscard]] auto perSecond() const -> double { return m_perSecond; }

private:
    /// Returns the time in which `tokens` are added; zero for a negative number.
    [[nodiscard]] auto timeFor(double tokens) const -> Duration
    {
        if (tokens <= 0)
            return Duration{0};
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(tokens / m_perSecond));
    }

    auto refill(TimePoint now) -> void
    {
        if (m_last != TimePoint{} && now > m_last) {
            const auto elapsed = std::chrono::duration<double>(now - m_last).count();
            m_tokens = std::min(m_burst, m_tokens + elapsed * m_perSecond);
        }
        m_last = std::max(m_last, now);
    }

    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_last{};
};

} // namespace stairspur
