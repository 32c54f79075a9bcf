#pragma once

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>

#include <stairspur/transport/Task.h>

namespace stairspur::transport {

/// Bytes that the far end has not acknowledged for this long break the connection: three retransmissions on a link of a few
/// milliseconds (RFC 6298: the first one after 200 ms on Linux, then doubled), so that lost packets alone do not.
inline constexpr auto UnacknowledgedTimeout = std::chrono::milliseconds(1500);
/// An idle connection is probed after this time, and then each second.
inline constexpr auto IdleBeforeProbe = std::chrono::seconds(2);
inline constexpr auto ProbeInterval = std::chrono::seconds(1);

/// Lets the kernel notice a far end that is gone without a word, on a connection that carries requests or waits for the
/// next one. Where an option is not known the caller's own timeouts are what is left.
inline auto detectSilence(asio::ip::tcp::socket &socket) -> void
{
    namespace option = asio::detail::socket_option;
    using UserTimeout = option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    auto ignored = boost::system::error_code();
    socket.set_option(UserTimeout(static_cast<int>(UnacknowledgedTimeout.count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(static_cast<int>(IdleBeforeProbe.count())), ignored);
    socket.set_option(KeepInterval(static_cast<int>(ProbeInterval.count())), ignored);
}

} // namespace stairspur::transport
