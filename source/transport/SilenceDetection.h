#pragma once

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>

#include <stairspur/core/Time.h>
#include <stairspur/transport/Task.h>

namespace stairspur::transport {

/// An idle connection is probed after this time, then once in each interval, and given up when so many probes in a row are
/// not answered: after three seconds.
inline constexpr auto IdleBeforeProbe = std::chrono::seconds(1);
inline constexpr auto ProbeInterval = std::chrono::seconds(1);
inline constexpr auto ProbesUnanswered = 2;

/// Lets the kernel notice a far end that is gone without a word, on a connection that carries requests or waits for the
/// next one. Bytes that are not acknowledged for `unacknowledged` break it. Where an option is not known the caller's own
/// timeouts are what is left.
inline auto detectSilence(asio::ip::tcp::socket &socket, Duration unacknowledged) -> void
{
    namespace option = asio::detail::socket_option;
    using UserTimeout = option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    auto ignored = boost::system::error_code();
    socket.set_option(UserTimeout(static_cast<int>(toMilliseconds(unacknowledged))), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(static_cast<int>(IdleBeforeProbe.count())), ignored);
    socket.set_option(KeepInterval(static_cast<int>(ProbeInterval.count())), ignored);
    socket.set_option(KeepCount(ProbesUnanswered), ignored);
}

} // namespace stairspur::transport
