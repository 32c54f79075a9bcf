#include "SuspectedCallLane.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/transport/Timer.h>

namespace stairspur::node {

namespace asio = transport::asio;

/// Interval at which waiting calls check the lane: a twentieth of a typical run of 100 ms.
static constexpr auto PollInterval = std::chrono::milliseconds(5);
/// Maximum number of waiting calls. Each takes the time of a run, so a call behind so many would miss its deadline.
static constexpr auto MaxWaiting = std::uint32_t{32};

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
    if (m_waiting >= MaxWaiting)
        co_return Permit();
    ++m_waiting;
    while (*m_isBusy && monotonicNow() < deadline && !cancellation->isCancelled()) {
        auto timer = transport::Timer(m_io, PollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    --m_waiting;
    if (*m_isBusy || cancellation->isCancelled())
        co_return Permit();
    co_return Permit(m_isBusy);
}

} // namespace stairspur::node
