#pragma once

#include <boost/asio/awaitable.hpp>

namespace stairspur::transport {

namespace asio = boost::asio;

/// A coroutine of Boost.Asio.
template <typename Value>
using Task = asio::awaitable<Value>;

} // namespace stairspur::transport
