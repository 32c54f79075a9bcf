#include <stairspur/retry/RetryTokenBucket.h>

#include <algorithm>
#include <cassert>

namespace stairspur::retry {

static constexpr auto OneToken = 1.0;
/// Debt that a bucket remembers, in sizes. More would keep a service without retries long after the repeats have ended.
static constexpr auto MaxDebtInSizes = 10.0;

/// Time in which the tokens that a window allows would be spent at the pace at which they come: about half of the trouble of
/// some ten seconds that is seen on the users' platform, so that little of it is left over at the end.
static constexpr auto PaceTime = Duration{4'000'000};
/// What is not spent at once is kept for this long at that pace.
static constexpr auto KeptTime = Duration{500'000};
/// Without a window the rate at which tokens come is smoothed over this time, that of what is wanted.
static constexpr auto RateMemory = Duration{500'000};
/// Between two looks at the window, which cost a few hundred additions each.
static constexpr auto RefillInterval = Duration{20'000};

RetryTokenBucket::RetryTokenBucket(const BucketLimits &limits)
    : m_limits(limits)
    , m_tokens(limits.size)
{
    assert(limits.successShare >= 0.0 && limits.requestShare >= 0.0 && limits.size >= 0.0);
    if (limits.window > Duration::zero())
        m_window.emplace(limits.window);
}

auto RetryTokenBucket::setLimits(const BucketLimits &limits) -> void
{
    if (limits.window <= Duration::zero())
        m_window.reset();
    else if (limits.window != m_limits.window)
        m_window.emplace(limits.window);
    m_limits = limits;
    m_tokens = std::min(m_tokens, capacity());
}

auto RetryTokenBucket::didPassTime(TimePoint now) -> void
{
    m_now = std::max(m_now, now);
    const auto elapsed = m_now - m_refilledAt;
    if (elapsed < RefillInterval)
        return;
    m_refilledAt = m_now;
    refill(elapsed);
    m_demand.didPassTime(elapsed, m_tokens, m_tokensPerSecond);
}

auto RetryTokenBucket::refill(Duration elapsed) -> void
{
    const auto length = static_cast<double>(elapsed.count());
    if (!m_window) {
        const auto weight = std::min(1.0, length / static_cast<double>(RateMemory.count()));
        m_tokensPerSecond += (m_added * 1e6 / length - m_tokensPerSecond) * weight;
        m_added = 0;
        return;
    }
    m_allowance = m_window->allowance(m_limits.requestShare, m_limits.size, m_now);
    m_tokensPerSecond = std::max(m_allowance, 0.0) * 1e6 / static_cast<double>(PaceTime.count());
    const auto paid = static_cast<double>(std::min(elapsed, KeptTime).count()) / 1e6;
    add(m_tokensPerSecond * paid);
    m_tokens = std::min(m_tokens, m_allowance);
}

auto RetryTokenBucket::capacity() const -> double
{
    if (!m_window)
        return m_limits.size;
    static constexpr auto KeptShare =
            static_cast<double>(KeptTime.count()) / static_cast<double>(PaceTime.count());
    return std::max(m_limits.size, m_allowance * KeptShare);
}

auto RetryTokenBucket::add(double tokens) -> void
{
    m_tokens = std::min(m_tokens + tokens, capacity());
    m_added += tokens;
}

auto RetryTokenBucket::didRequest() -> void
{
    if (m_window)
        m_window->didRequest(m_now);
    else
        add(m_limits.requestShare);
}

auto RetryTokenBucket::didSucceed() -> void
{
    add(m_limits.successShare);
}

auto RetryTokenBucket::tryTake() -> bool
{
    if (m_tokens < OneToken)
        return false;
    m_tokens -= OneToken;
    if (m_window)
        m_window->didRetry(m_now);
    return true;
}

auto RetryTokenBucket::didRepeat() -> void
{
    m_tokens = std::max(m_tokens - OneToken, -MaxDebtInSizes * m_limits.size);
    if (m_window)
        m_window->didRetry(m_now);
}

auto RetryTokenBucket::hasTokenFor(Level precedence) const -> bool
{
    return precedence >= m_demand.floor() && m_tokens >= OneToken;
}

} // namespace stairspur::retry
