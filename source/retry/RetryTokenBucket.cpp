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

RetryTokenBucket::RetryTokenBucket(const BucketLimits &limits)
    : m_limits(limits)
    , m_tokens(limits.size)
{
    assert(limits.successShare >= 0.0 && limits.requestShare >= 0.0 && limits.size >= 0.0);
}

auto RetryTokenBucket::setLimits(const BucketLimits &limits) -> void
{
    m_limits = limits;
    m_tokens = std::min(m_tokens, limits.size);
}

auto RetryTokenBucket::add(double tokens) -> void
{
    m_tokens = std::min(m_tokens + tokens, m_limits.size);
}

auto RetryTokenBucket::didRequest() -> void
{
    add(m_limits.requestShare);
    if (m_tokens >= m_limits.size)
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
    return true;
}

auto RetryTokenBucket::didRepeat() -> void
{
    m_tokens = std::max(m_tokens - OneToken, -MaxDebtInSizes * m_limits.size);
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
