#pragma once

#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "PlatformClient.h"

namespace stairspur::platform {

/// A client that keeps its connection until the node closes it.
class KeptConnection
{
public:
    explicit KeptConnection(std::string address)
        : m_address(std::move(address))
    {}

    /// Returns the status of the response; 0 without one.
    auto send(const std::string &text) -> unsigned
    {
        auto ec = boost::system::error_code();
        if (!m_socket.is_open())
            connect(ec);
        if (!ec)
            boost::asio::write(m_socket, boost::asio::buffer(text), ec);
        auto response = PlatformResponse();
        if (!ec)
            boost::beast::http::read(m_socket, m_buffer, response, ec);
        if (ec || !response.keep_alive()) {
            m_socket.close();
            m_buffer.clear();
        }
        return ec ? 0 : response.result_int();
    }

    /// Sends a request and closes the connection after `patience`, without having read a response.
    auto sendAndLeave(const std::string &text, std::chrono::milliseconds patience) -> void
    {
        auto ec = boost::system::error_code();
        if (!m_socket.is_open())
            connect(ec);
        if (!ec)
            boost::asio::write(m_socket, boost::asio::buffer(text), ec);
        std::this_thread::sleep_for(patience);
        m_socket.close(ec);
        m_buffer.clear();
    }

private:
    auto connect(boost::system::error_code &ec) -> void
    {
        m_socket.connect({boost::asio::ip::make_address(m_address), EntryPort}, ec);
        // Far above the time of any answer: it only ends a test that would hang.
        const auto timeout = timeval{60, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    }

    std::string m_address;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket{m_io};
    boost::beast::flat_buffer m_buffer;
};

} // namespace stairspur::platform
