#include <stairspur/retry/RetryTokenBucket.h>

#include <algorithm>
#include <cassert>

namespace stairspur::retry {

static constexpr auto OneToken = 1.0;

RetryTokenBucket::RetryTokenBucket(double successShare, double size)
    : m_successShare(successShare)
    , m_size(size)
    , m_tokens(size)
{
    assert(successShare >= 0.0 && size >= 0.0);
}

auto RetryTokenBucket::setLimits(double successShare, double size) -> void
{
    m_successShare = successShare;
    m_size = size;
    m_tokens = std::min(m_tokens, size);
}

auto RetryTokenBucket::didSucceed() -> void
{
    m_tokens = std::min(m_size, m_tokens + m_successShare);
}

auto RetryTokenBucket::tryTake() -> bool
{
    if (m_tokens < OneToken)
        return false;
    m_tokens -= OneToken;
    return true;
}

} // namespace stairspur::retry
