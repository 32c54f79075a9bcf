#pragma once

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include <stairspur/core/Time.h>

#include "HttpListener.h"

namespace stairspur::standins {

/// How far one exchange of request and answer got.
enum class ExchangeEnd {
    Answered,
    NotConnected, ///< Nothing was sent.
    TimedOut,
    Broken,
};

struct Exchange
{
    ExchangeEnd end = ExchangeEnd::Broken;
    Response response;
};

/// Kept HTTP/1.1 connections to one server, one exchange at a time on each. Nothing is sent twice.
class HttpPool
{
public:
    using Clock = HostClock;

    HttpPool(asio::io_context &io, tcp::endpoint endpoint)
        : m_io(io)
        , m_endpoint(std::move(endpoint))
    {}

    [[nodiscard]] auto endpoint() const -> const tcp::endpoint & { return m_endpoint; }

    /// Connections on which more came than the one answer that was due.
    [[nodiscard]] auto strayAnswers() const -> std::uint64_t { return m_strayAnswers; }

    /// Sends `request` and waits for its whole answer until `deadline`. A cancellation (which may be null) closes the
    /// connection.
    auto exchange(Request &request, Clock::time_point deadline, CancellationPtr cancellation)
            -> Task<Exchange>
    {
        Exchange result;
        auto connection = takeIdle();
        if (!connection) {
            connection = std::make_unique<Connection>(m_io);
            connection->stream.expires_after(timeUntil(deadline));
            const auto [ec] = co_await connection->stream.async_connect(m_endpoint, asTuple);
            if (ec) {
                result.end = ExchangeEnd::NotConnected;
                co_return result;
            }
            boost::system::error_code ignored;
            connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        }
        if (cancellation && cancellation->isCancelled())
            co_return result;
        const auto cancel = [&stream = connection->stream] { stream.cancel(); };
        if (cancellation)
            cancellation->onCancel(cancel);
        co_await transfer(*connection, request, deadline, result);
        if (cancellation)
            cancellation->onCancel({});
        if (result.end == ExchangeEnd::Answered && result.response.keep_alive())
            m_idle.push_back(std::move(connection));
        co_return result;
    }

private:
    struct Connection
    {
        explicit Connection(asio::io_context &io)
            : stream(io)
        {}

        beast::tcp_stream stream;
        beast::flat_buffer buf;
    };

    static constexpr std::uint64_t maxBodyBytes = 64U << 20U;

    static auto timeUntil(Clock::time_point deadline) -> Clock::duration
    {
        return std::max(deadline - Clock::now(), Clock::duration::zero());
    }

    static auto transfer(Connection &connection, Request &request, Clock::time_point deadline,
                         Exchange &result) -> Task<void>
    {
        connection.stream.expires_after(timeUntil(deadline));
        request.set(http::field::host, "standin");
        request.prepare_payload();
        const auto [writeError, n] =
                co_await http::async_write(connection.stream, request, asTuple);
        if (writeError) {
            result.end = endOf(writeError);
            co_return;
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        const auto [readError, m] =
                co_await http::async_read(connection.stream, connection.buf, parser, asTuple);
        connection.stream.expires_never();
        result.end = readError ? endOf(readError) : ExchangeEnd::Answered;
        if (!readError)
            result.response = parser.release();
    }

    static auto endOf(const boost::system::error_code &ec) -> ExchangeEnd
    {
        return ec == beast::error::timeout ? ExchangeEnd::TimedOut : ExchangeEnd::Broken;
    }

    /// Takes a kept connection. One that has bytes waiting is dropped: no answer is due on it.
    auto takeIdle() -> std::unique_ptr<Connection>
    {
        while (!m_idle.empty()) {
            auto connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (connection->buf.size() == 0 && isQuiet(connection->stream.socket()))
                return connection;
            if (connection->buf.size() > 0 || !isPeerClosed(connection->stream.socket()))
                ++m_strayAnswers;
        }
        return nullptr;
    }

    asio::io_context &m_io;
    tcp::endpoint m_endpoint;
    std::vector<std::unique_ptr<Connection>> m_idle;
    std::uint64_t m_strayAnswers = 0;
};

} // namespace stairspur::standins
