#include "SuspectedCallLane.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/transport/Timer.h>

namespace stairspur::node {

namespace asio = transport::asio;

/// How often those that wait look again: a twentieth of a usual run of 100 ms.
static constexpr auto LookInterval = std::chrono::milliseconds(5);
/// Each takes the time of a run; who came after so many would hardly be in time.
static constexpr auto MostWaiting = std::uint32_t{32};

SuspectedCallLane::Permit::Permit(std::shared_ptr<bool> isBusy)
    : m_isBusy(std::move(isBusy))
{
    *m_isBusy = true;
}

SuspectedCallLane::Permit::~Permit()
{
    if (m_isBusy)
        *m_isBusy = false;
}

auto SuspectedCallLane::enter(TimePoint deadline, transport::CancellationPtr cancellation)
        -> transport::Task<Permit>
{
    if (m_waiting >= MostWaiting)
        co_return Permit();
    ++m_waiting;
    while (*m_isBusy && monotonicNow() < deadline && !cancellation->isCancelled()) {
        auto timer = transport::Timer(m_io, LookInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    --m_waiting;
    if (*m_isBusy || cancellation->isCancelled())
        co_return Permit();
    co_return Permit(m_isBusy);
}

} // namespace stairspur::node
