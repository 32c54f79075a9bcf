#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>

#include "../shared/HttpListener.h"

namespace stairspur::standins {

/// The worker limit of a backend server, with a small queue in front (first in, first out).
class WorkerSlots
{
public:
    enum class Admission {
        Granted,
        Shed,
        Cancelled, ///< The caller left while it waited.
    };

    WorkerSlots(asio::io_context &io, std::uint32_t slots, std::uint32_t maxQueue)
        : m_io(io)
        , m_slots(slots)
        , m_maxQueue(maxQueue)
    {}

    /// Waits for a slot. What is granted is given back by release().
    auto acquire(const CancellationPtr &cancellation) -> Task<Admission>
    {
        if (m_inUse < m_slots) {
            ++m_inUse;
            co_return Admission::Granted;
        }
        if (m_waiters.size() >= m_maxQueue)
            co_return Admission::Shed;
        const auto waiter = std::make_shared<Waiter>(m_io);
        m_waiters.push_back(waiter);
        cancellation->onCancel([waiter] { waiter->timer.cancel(); });
        co_await waiter->timer.async_wait(asTuple);
        cancellation->onCancel({});
        if (waiter->isGranted)
            co_return Admission::Granted;
        std::erase(m_waiters, waiter);
        co_return Admission::Cancelled;
    }

    auto release() -> void
    {
        --m_inUse;
        grantWaiting();
    }

    auto setSlots(std::uint32_t slots) -> void
    {
        m_slots = slots;
        grantWaiting();
    }

    [[nodiscard]] auto slots() const -> std::uint32_t { return m_slots; }
    [[nodiscard]] auto inUse() const -> std::uint32_t { return m_inUse; }
    [[nodiscard]] auto waiting() const -> std::size_t { return m_waiters.size(); }

private:
    struct Waiter
    {
        explicit Waiter(asio::io_context &io)
            : timer(io, asio::steady_timer::time_point::max())
        {}

        asio::steady_timer timer;
        bool isGranted = false;
    };

    auto grantWaiting() -> void
    {
        while (m_inUse < m_slots && !m_waiters.empty()) {
            const auto waiter = m_waiters.front();
            m_waiters.pop_front();
            ++m_inUse;
            waiter->isGranted = true;
            waiter->timer.cancel();
        }
    }

    asio::io_context &m_io;
    std::uint32_t m_slots;
    std::uint32_t m_maxQueue;
    std::uint32_t m_inUse = 0;
    std::deque<std::shared_ptr<Waiter>> m_waiters;
};

} // namespace stairspur::standins
