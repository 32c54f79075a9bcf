#include <stairspur/retry/RetryTokenBucket.h>

#include <algorithm>
#include <cassert>

namespace stairspur::retry {

static constexpr auto OneToken = 1.0;
/// Maximum debt of a bucket, as a multiple of its size. A greater debt would leave a service without retries long after
/// the repeats have ended.
static constexpr auto MaxDebtInSizes = 10.0;

/// Time over which the allowance of a window is added as tokens. It is about half of the usual length of a fault on the
/// users' platform, some ten seconds, so that little of the allowance remains at the end of the fault.
static constexpr auto PaceTime = Duration{4'000'000};
/// Maximum time for which unspent tokens accumulate at that rate.
static constexpr auto AccumulationTime = Duration{500'000};
/// Time over which the rate of added tokens is smoothed without a window. It equals that of the demand.
static constexpr auto RateSmoothingTime = Duration{500'000};
/// Time between two refills. Each one computes the allowance of the window, which takes a few hundred additions.
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

auto RetryTokenBucket::advanceTo(TimePoint now) -> void
{
    m_now = std::max(m_now, now);
    const auto elapsed = m_now - m_refilledAt;
    if (elapsed < RefillInterval)
        return;
    m_refilledAt = m_now;
    refill(elapsed);
    m_demand.updateFloor(elapsed, m_tokens, m_tokensPerSecond);
}

auto RetryTokenBucket::refill(Duration elapsed) -> void
{
    const auto length = static_cast<double>(elapsed.count());
    if (!m_window) {
        const auto weight = std::min(1.0, length / static_cast<double>(RateSmoothingTime.count()));
        m_tokensPerSecond += (m_added * 1e6 / length - m_tokensPerSecond) * weight;
        m_added = 0;
        return;
    }
    m_allowance = m_window->allowance(m_limits.requestShare, m_limits.size, m_now);
    m_tokensPerSecond = std::max(m_allowance, 0.0) * 1e6 / static_cast<double>(PaceTime.count());
    const auto paidSeconds = static_cast<double>(std::min(elapsed, AccumulationTime).count()) / 1e6;
    add(m_tokensPerSecond * paidSeconds);
    m_tokens = std::min(m_tokens, m_allowance);
}

auto RetryTokenBucket::capacity() const -> double
{
    if (!m_window)
        return m_limits.size;
    static constexpr auto AccumulatedShare =
            static_cast<double>(AccumulationTime.count()) / static_cast<double>(PaceTime.count());
    return std::max(m_limits.size, m_allowance * AccumulatedShare);
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

auto RetryTokenBucket::chargeRepeat() -> void
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
