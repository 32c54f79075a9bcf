#include "LinkWaiter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace stairspur::transport {

auto LinkWaiter::wait() -> Task<bool>
{
    const auto [ec] = co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return !ec;
}

} // namespace stairspur::transport
