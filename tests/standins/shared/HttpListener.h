#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

namespace stairspur::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using transport::Cancellation;
using transport::CancellationPtr;
using transport::Task;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Whether the other side has closed the connection or reset it.
inline auto isPeerClosed(tcp::socket &socket) -> bool
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Whether the connection is open and has nothing to read.
inline auto isQuiet(tcp::socket &socket) -> bool
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// HTTP/1.1 server of a stand-in. `Handler` is a callable (const Request &, CancellationPtr) -> Task<Response> that
/// throws nothing; the cancellation fires when the connection closes before the answer.
template <typename Handler>
class HttpListener
{
public:
    HttpListener(asio::io_context &io, Handler handler)
        : m_io(io)
        , m_handler(std::move(handler))
    {}

    /// Binds and accepts. Throws boost::system::system_error when the port is taken.
    auto listen(const tcp::endpoint &endpoint) -> std::uint16_t
    {
        auto acceptor = std::make_shared<tcp::acceptor>(m_io, endpoint);
        asio::co_spawn(m_io, accept(acceptor), asio::detached);
        return acceptor->local_endpoint().port();
    }

private:
    static constexpr std::uint64_t maxBodyBytes = 64U << 20U;

    auto accept(std::shared_ptr<tcp::acceptor> acceptor) -> Task<void>
    {
        while (true) {
            auto [ec, socket] = co_await acceptor->async_accept(asTuple);
            if (!ec)
                asio::co_spawn(m_io, serveConnection(std::move(socket)), asio::detached);
        }
    }

    auto serveConnection(tcp::socket socket) -> Task<void>
    {
        using namespace asio::experimental::awaitable_operators;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        beast::flat_buffer buf;
        while (true) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            const auto [readError, readBytes] =
                    co_await http::async_read(socket, buf, parser, asTuple);
            if (readError)
                co_return;
            const auto request = parser.release();
            const auto cancellation = std::make_shared<Cancellation>();
            Response response;
            co_await (handle(request, cancellation, response) || watch(socket, cancellation));
            response.version(request.version());
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            const auto [writeError, n] = co_await http::async_write(socket, response, asTuple);
            if (writeError || !response.keep_alive())
                co_return;
        }
    }

    auto handle(const Request &request, CancellationPtr cancellation, Response &response)
            -> Task<void>
    {
        response = co_await m_handler(request, std::move(cancellation));
    }

    /// Tells of a closed connection, and never ends by itself: the handler decides what follows.
    auto watch(tcp::socket &socket, CancellationPtr cancellation) -> Task<void>
    {
        co_await socket.async_wait(tcp::socket::wait_read, asTuple);
        if (isPeerClosed(socket))
            cancellation->cancel();
        asio::steady_timer never(m_io, asio::steady_timer::time_point::max());
        co_await never.async_wait(asTuple);
    }

    asio::io_context &m_io;
    Handler m_handler;
};

} // namespace stairspur::standins
