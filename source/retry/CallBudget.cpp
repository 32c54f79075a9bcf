#include <stairspur/retry/CallBudget.h>

namespace stairspur::retry {

auto CallBudget::startAttempt(bool hasDeeperCalls) -> AttemptBudget
{
    m_sent = hasDeeperCalls ? m_remaining : 0;
    m_remaining -= m_sent;
    return {m_sent, m_isRepeat};
}

auto CallBudget::didReceiveAnswer(std::uint32_t unspent) -> void
{
    // After a claim of more than was sent, the number of attempts that were spent is unknown.
    if (unspent <= m_sent)
        m_remaining += unspent;
    m_sent = 0;
}

auto CallBudget::trySpend() -> bool
{
    m_sent = 0;
    if (m_remaining == 0)
        return false;
    --m_remaining;
    m_isRepeat = true;
    return true;
}

} // namespace stairspur::retry
