#include <stairspur/retry/CallBudget.h>

#include <algorithm>

namespace stairspur::retry {

auto CallBudget::startAttempt() -> AttemptBudget
{
    m_sent = m_left
             / 2; // The greater half stays, so that a single extra attempt survives a lost answer.
    m_left -= m_sent;
    return {m_sent, m_isRepeat};
}

auto CallBudget::didAnswer(std::uint32_t unspent) -> void
{
    m_left += std::min(unspent, m_sent);
    m_sent = 0;
}

auto CallBudget::trySpend() -> bool
{
    m_sent = 0;
    if (m_left == 0)
        return false;
    --m_left;
    m_isRepeat = true;
    return true;
}

} // namespace stairspur::retry
