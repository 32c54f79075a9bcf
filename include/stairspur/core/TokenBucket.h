#pragma once

#include <algorithm>

#include <stairspur/core/Time.h>

namespace stairspur {

/// Token bucket that limits the rate of calls. Each call takes a token. `perSecond` tokens are added in each second,
/// and at most `burst` tokens are saved up.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {}

    /// Takes a token, if necessary in advance, and returns the time until it may be used.
    auto take(TimePoint now) -> Duration
    {
        refill(now);
        m_tokens -= 1;
        if (m_tokens >= 0)
            return Duration{0};
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(-m_tokens / m_perSecond));
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

private:
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
