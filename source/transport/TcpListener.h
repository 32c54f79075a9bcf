#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <stairspur/transport/Timer.h>

namespace stairspur::transport {

/// Accepts TCP connections on one port, for HTTP and for peer links alike. Rests for a while when accepting fails, as it does
/// when the process has no descriptor left.
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
    using DidAccept = std::function<void(boost::asio::ip::tcp::socket)>;

    explicit TcpListener(boost::asio::io_context &io);

    /// Binds; port 0 takes a free one. Throws SettingError when that cannot be done.
    auto listen(const std::string &address, std::uint16_t port) -> void;

    /// Hands each connection to `didAccept`, which is kept until close().
    auto accept(DidAccept didAccept) -> void;

    auto close() -> void;

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }

private:
    auto acceptOne() -> void;
    auto restThenAccept(boost::system::error_code why) -> void;

    boost::asio::ip::tcp::acceptor m_acceptor;
    Timer m_rest;
    std::uint16_t m_port = 0;
    DidAccept m_didAccept;
};

} // namespace stairspur::transport
