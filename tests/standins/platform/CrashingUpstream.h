#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <stairspur/transport/Task.h>

namespace stairspur::standin {

/// A backend server whose process ends when it runs certain requests, or when a test says so: every connection is cut and its
/// port refuses new ones, until it is started again. All other requests are answered after `workTime`.
class CrashingUpstream
{
public:
    using Clock = std::chrono::steady_clock;

    CrashingUpstream(boost::asio::io_context &io, std::string instance)
        : m_io(io)
        , m_instance(std::move(instance))
    {
        start();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }
    [[nodiscard]] auto isUp() const -> bool { return m_acceptor.has_value(); }
    [[nodiscard]] auto instance() const -> std::string
    {
        return m_instance + '.' + std::to_string(m_starts);
    }

    /// Begins a new life at the same port.
    auto start() -> void
    {
        ++m_starts;
        m_acceptor.emplace(m_io, boost::asio::ip::tcp::endpoint(
                                         boost::asio::ip::make_address("127.0.0.1"), m_port));
        m_port = m_acceptor->local_endpoint().port();
        boost::asio::co_spawn(m_io, accept(m_starts), boost::asio::detached);
    }

    /// Ends the process at once.
    auto crash() -> void
    {
        if (!isUp())
            return;
        m_acceptor.reset();
        for (const auto &it : m_sockets)
            it->close();
        m_sockets.clear();
        if (didCrash)
            didCrash();
    }

    /// Cuts every connection and goes on taking new ones.
    auto cutConnections() -> void
    {
        for (const auto &it : m_sockets)
            it->close();
        m_sockets.clear();
    }

    std::function<bool(const std::string &target)> isDeadly; ///< Empty: none is.
    std::function<void(const std::string &target)> didBegin; ///< A request begins to run.
    std::function<void()> didCrash;
    Clock::duration workTime = std::chrono::milliseconds(5);
    Clock::duration timeToCrash = std::chrono::milliseconds(3);

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

    auto accept(int life) -> transport::Task<void>
    {
        while (isUp() && m_starts == life) {
            auto [ec, socket] = co_await m_acceptor->async_accept(asTuple);
            if (ec)
                co_return;
            m_sockets.push_back(std::make_shared<Socket>(std::move(socket)));
            boost::asio::co_spawn(m_io, serve(m_sockets.back(), life), boost::asio::detached);
        }
    }

    auto serve(std::shared_ptr<Socket> socket, int life) -> transport::Task<void>
    {
        auto buffer = boost::beast::flat_buffer();
        while (true) {
            auto request = Request();
            const auto [ec, n] =
                    co_await boost::beast::http::async_read(*socket, buffer, request, asTuple);
            if (ec || m_starts != life)
                co_return;
            const auto target = std::string(request.target());
            if (didBegin)
                didBegin(target);
            const auto endsProcess = isDeadly && isDeadly(target);
            auto timer = boost::asio::steady_timer(m_io, endsProcess ? timeToCrash : workTime);
            co_await timer.async_wait(asTuple);
            if (endsProcess && m_starts == life)
                crash();
            if (!socket->is_open())
                co_return;
            const auto text = answer(std::string(request["X-Attempt-Id"]));
            const auto [writeError, written] =
                    co_await boost::asio::async_write(*socket, boost::asio::buffer(text), asTuple);
            if (writeError)
                co_return;
        }
    }

    static auto answer(const std::string &attempt) -> std::string
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
               + "\r\nX-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nwhole";
    }

    boost::asio::io_context &m_io;
    std::string m_instance;
    std::uint16_t m_port = 0;
    int m_starts = 0;
    std::optional<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::list<std::shared_ptr<Socket>> m_sockets;
};

} // namespace stairspur::standin
