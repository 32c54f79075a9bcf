#include "RateLimit.h"

#include <algorithm>
#include <cmath>

namespace stairspur::admission {

namespace {

/// Time over which unused tokens are saved up, so that calls that arrive close together can be sent.
constexpr auto BurstSeconds = 0.1;
/// Tokens that are saved up at a low rate. With one token, a tenth of the rate stays unused between random arrivals.
constexpr auto MinBurst = 3.0;

/// Lower bound of the rate in calls per second. The end of a statement is seen only in an answer, so a backend server
/// that states zero still receives a call from time to time.
constexpr auto MinRate = 0.2;

/// Time in which the rate doubles after the end of a statement, and time after which the limit ends.
constexpr auto DoublingTime = Duration{500'000};
constexpr auto GrowthTime = Duration{4'000'000};
/// Rate in calls per second from which the growth starts at least.
constexpr auto MinGrowthStart = 1.0;

} // namespace

auto RateLimit::set(std::optional<double> perSecond, TimePoint now) -> void
{
    advanceTo(now);
    if (perSecond) {
        m_endedAt.reset();
        m_statedRate = std::max(*perSecond, MinRate);
        setRate(m_statedRate);
        return;
    }
    if (m_bucket && !m_endedAt)
        m_endedAt = m_now;
}

auto RateLimit::setRate(double perSecond) -> void
{
    const auto burst = std::max(perSecond * BurstSeconds, MinBurst);
    if (m_bucket)
        m_bucket->setRate(perSecond, burst, m_now);
    else
        m_bucket = TokenBucket::emptyAt(m_now, perSecond, burst);
}

auto RateLimit::advanceTo(TimePoint now) -> void
{
    m_now = std::max(m_now, now);
    if (!m_endedAt)
        return;
    const auto elapsed = m_now - *m_endedAt;
    if (elapsed >= GrowthTime) {
        m_bucket.reset();
        m_endedAt.reset();
        return;
    }
    const auto doublings =
            static_cast<double>(elapsed.count()) / static_cast<double>(DoublingTime.count());
    setRate(std::max(m_statedRate, MinGrowthStart) * std::exp2(doublings));
}

auto RateLimit::take() -> void
{
    if (m_bucket)
        m_bucket->take(m_now);
}

auto RateLimit::giveBack() -> void
{
    if (m_bucket)
        m_bucket->giveBack();
}

auto RateLimit::timeUntil(std::uint32_t calls) const -> Duration
{
    return m_bucket ? m_bucket->timeUntil(calls, m_now) : Duration::zero();
}

} // namespace stairspur::admission
