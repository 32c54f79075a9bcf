#include "WaitingQueue.h"

#include <cassert>
#include <iterator>

namespace stairspur::admission {

auto WaitingQueue::push(const QueuedCall &call) -> void
{
    const auto key = Key{call.order, m_nextArrival++};
    const auto isNew = m_keys.emplace(call.offer.id, key).second;
    assert(isNew && "a call id waits only once");
    if (isNew)
        m_calls.emplace(key, Waiting{call, m_poppedCount});
}

auto WaitingQueue::popFirst() -> CallOffer
{
    assert(!isEmpty());
    ++m_poppedCount;
    return extract(m_calls.begin());
}

auto WaitingQueue::popLast() -> CallOffer
{
    assert(!isEmpty());
    return extract(std::prev(m_calls.end()));
}

auto WaitingQueue::last() const -> const QueuedCall &
{
    assert(!isEmpty());
    return m_calls.rbegin()->second.call;
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

auto WaitingQueue::greatestOvertaken(std::uint64_t count) const -> std::optional<ServingOrder>
{
    for (const auto &[key, waiting] : m_calls) {
        if (m_poppedCount - waiting.poppedBefore >= count)
            return key.order;
    }
    return std::nullopt;
}

auto WaitingQueue::size() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_calls.size());
}

auto WaitingQueue::extract(std::map<Key, Waiting>::iterator it) -> CallOffer
{
    const auto offer = it->second.call.offer;
    m_keys.erase(offer.id);
    m_calls.erase(it);
    return offer;
}

} // namespace stairspur::admission
