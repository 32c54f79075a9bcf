#include "WaitingQueue.h"

#include <cassert>
#include <iterator>
#include <limits>

namespace stairspur::admission {

auto WaitingQueue::push(const CallOffer &offer) -> void
{
    const auto key = Key{offer.level, m_nextArrival++};
    const auto isNew = m_keys.emplace(offer.id, key).second;
    assert(isNew && "a call id waits only once");
    if (isNew)
        m_calls.emplace(key, offer);
}

auto WaitingQueue::popFirst() -> CallOffer
{
    assert(!isEmpty());
    return take(m_calls.begin());
}

auto WaitingQueue::popLast() -> CallOffer
{
    assert(!isEmpty());
    return take(std::prev(m_calls.end()));
}

auto WaitingQueue::last() const -> const CallOffer &
{
    assert(!isEmpty());
    return m_calls.rbegin()->second;
}

auto WaitingQueue::remove(CallId id) -> bool
{
    const auto it = m_keys.find(id);
    if (it == m_keys.end())
        return false;
    m_calls.erase(it->second);
    m_keys.erase(it);
    return true;
}

auto WaitingQueue::countAhead(Level level) const -> std::uint32_t
{
    // The queue is bounded to a few hundred calls, so that walking it costs less than keeping counts by level.
    const auto end = m_calls.upper_bound(Key{level, std::numeric_limits<std::uint64_t>::max()});
    return static_cast<std::uint32_t>(std::distance(m_calls.begin(), end));
}

auto WaitingQueue::size() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_calls.size());
}

auto WaitingQueue::take(std::map<Key, CallOffer>::iterator it) -> CallOffer
{
    const auto offer = it->second;
    m_keys.erase(offer.id);
    m_calls.erase(it);
    return offer;
}

} // namespace stairspur::admission
