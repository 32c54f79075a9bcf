#pragma once

#include <utility>

#include <stairspur/transport/Cancellation.h>

#include "LinkWaiter.h"

namespace stairspur::transport {

/// Takes an entry out of a container again, also when the waiting coroutine is destroyed.
template <typename Container, typename Key>
class EntryGuard
{
public:
    EntryGuard(Container &container, Key key)
        : m_container(container)
        , m_key(key)
    {}
    ~EntryGuard() { m_container.erase(m_key); }
    EntryGuard(const EntryGuard &) = delete;
    EntryGuard(EntryGuard &&) = delete;
    auto operator=(const EntryGuard &) -> EntryGuard & = delete;
    auto operator=(EntryGuard &&) -> EntryGuard & = delete;

private:
    Container &m_container;
    Key m_key;
};

/// Wakes a waiter up upon cancellation, for as long as it waits.
class WakeUpGuard
{
public:
    WakeUpGuard(CancellationPtr cancellation, LinkWaiter &waiter)
        : m_cancellation(std::move(cancellation))
    {
        if (!m_cancellation)
            return;
        m_cancellation->onCancel([&waiter] {
            waiter.isCancelled = true;
            waiter.wakeUp();
        });
    }
    ~WakeUpGuard()
    {
        if (m_cancellation && !m_cancellation->isCancelled())
            m_cancellation->onCancel(nullptr);
    }
    WakeUpGuard(const WakeUpGuard &) = delete;
    WakeUpGuard(WakeUpGuard &&) = delete;
    auto operator=(const WakeUpGuard &) -> WakeUpGuard & = delete;
    auto operator=(WakeUpGuard &&) -> WakeUpGuard & = delete;

private:
    CancellationPtr m_cancellation;
};

} // namespace stairspur::transport
