#include <stairspur/transport/PortProbe.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/transport/Timer.h>

namespace stairspur::transport {

auto isPortClosed(asio::io_context &io, asio::ip::tcp::endpoint endpoint, Duration timeout)
        -> Task<bool>
{
    const auto socket = std::make_shared<asio::ip::tcp::socket>(io);
    auto timer = Timer(io, timeout);
    timer.async_wait([socket](const boost::system::error_code &ec) {
        auto ignored = boost::system::error_code();
        if (!ec)
            socket->close(ignored);
    });
    const auto [ec] = co_await socket->async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    timer.cancel();
    co_return ec == asio::error::connection_refused || ec == asio::error::connection_reset;
}

} // namespace stairspur::transport
