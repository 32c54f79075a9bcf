#include <stairspur/retry/RetryTokenBucket.h>

#include <algorithm>
#include <cassert>

namespace stairspur::retry {

static constexpr auto OneToken = 1.0;
/// Levels by which the floor rises when a call above it finds no token: a class, of 128 levels, is passed within some ten
/// calls that came in vain.
static constexpr auto FloorRise = std::uint16_t{8};
/// Levels by which it falls with each request that finds the bucket full.
static constexpr auto FloorFall = std::uint16_t{1};
/// Some calls keep their retries, however short these are.
static constexpr auto HighestFloor = static_cast<std::uint16_t>(ClosedLevel.value - FloorRise);
/// Debt that a bucket remembers, in sizes. More would keep a service without retries long after the repeats have ended.
static constexpr auto MaxDebtInSizes = 10.0;

/// Time in which the tokens that a window allows would be spent at the pace at which they come: about half of the trouble of
/// some ten seconds that is seen on the users' platform, so that little of it is left over at the end.
static constexpr auto PaceTime = Duration{4'000'000};
/// What is not spent at once is kept for this long at that pace.
static constexpr auto KeptTime = Duration{500'000};
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
    if (m_window && m_now - m_refilledAt >= RefillInterval)
        refill(m_now);
}

auto RetryTokenBucket::refill(TimePoint now) -> void
{
    const auto elapsed = std::min(now - m_refilledAt, KeptTime);
    m_refilledAt = now;
    m_allowance = m_window->allowance(m_limits.requestShare, m_limits.size, now);
    const auto share = static_cast<double>(elapsed.count()) / static_cast<double>(PaceTime.count());
    add(std::max(m_allowance, 0.0) * share);
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
}

auto RetryTokenBucket::didRequest() -> void
{
    if (m_window)
        m_window->didRequest(m_now);
    else
        add(m_limits.requestShare);
    if (m_tokens >= capacity())
        m_floor.value -= std::min(m_floor.value, FloorFall);
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

auto RetryTokenBucket::hasTokenFor(Level level) const -> bool
{
    return level >= m_floor && m_tokens >= OneToken;
}

auto RetryTokenBucket::didRefuse(Level level) -> void
{
    if (level < m_floor)
        return;
    const auto raised = static_cast<std::uint16_t>(m_floor.value + FloorRise);
    m_floor = Level{std::min(raised, HighestFloor)};
}

} // namespace stairspur::retry
