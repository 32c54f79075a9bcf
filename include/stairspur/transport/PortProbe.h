#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <stairspur/core/Time.h>
#include <stairspur/transport/Task.h>

namespace stairspur::transport {

/// Whether nobody listens at `endpoint`: a connection is refused. One that is taken, or not answered within `timeout`, tells
/// that somebody may.
auto isPortClosed(asio::io_context &io, asio::ip::tcp::endpoint endpoint, Duration timeout)
        -> Task<bool>;

} // namespace stairspur::transport
