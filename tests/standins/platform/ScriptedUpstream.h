#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <stairspur/transport/Task.h>

namespace stairspur::standin {

/// Fields by which a node accepts an answer as the backend server's.
inline constexpr auto OwnFields = std::string_view("X-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n");

/// Returns the bytes of an answer; `fields` end with CRLF each.
inline auto answerOf(const std::string &statusLine, const std::string &fields,
                     const std::string &body) -> std::string
{
    return statusLine + "\r\n" + std::string(OwnFields) + fields + "\r\n" + body;
}

inline auto wholeAnswer() -> std::string
{
    return answerOf("HTTP/1.1 200 OK", "Content-Length: 5\r\n", "whole");
}

/// How a ScriptedUpstream ends the connection after its answer.
enum class Ending {
    Keep,              ///< Leaves it open, and reads nothing more.
    Reset,             ///< Resets it.
    Close,             ///< Closes it; the kernel resets it if received bytes were not read.
    ReadRestThenClose, ///< Reads until the client has sent nothing for a while, then closes it.
};

/// What a ScriptedUpstream does with each request.
struct Script
{
    /// The bytes of the answer. Each `{id}` is replaced by the request's X-Attempt-Id.
    std::string answer;
    Ending ending = Ending::Keep;
    std::size_t readBytes = 0; ///< Bytes that it reads after the head of the request.
    std::chrono::milliseconds pauseBeforeAnswer{0};
    std::chrono::milliseconds pauseBeforeEnd{0};
};

/// A backend server that answers each request with fixed bytes, whether or not it has read the whole of it, and serves one
/// request on a connection. setScript() and requests() may be called from any thread.
class ScriptedUpstream
{
public:
    /// `instance` is not sent.
    ScriptedUpstream(boost::asio::io_context &io, const std::string &address,
                     const std::string &instance = {})
        : m_io(io)
        , m_acceptor(io)
    {
        (void)instance;
        using boost::asio::ip::tcp;
        const auto endpoint = tcp::endpoint(boost::asio::ip::make_address(address), 0);
        m_acceptor.open(endpoint.protocol());
        // Small, so that the client's write of a long body is still under way when the answer is sent.
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        boost::asio::co_spawn(m_io, accept(), boost::asio::detached);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    auto setScript(Script script) -> void
    {
        const auto lock = std::scoped_lock(m_mutex);
        m_script = std::move(script);
    }

    /// Returns how many requests it has answered.
    [[nodiscard]] auto requests() const -> int
    {
        const auto lock = std::scoped_lock(m_mutex);
        return m_requests;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using SocketPtr = std::shared_ptr<Socket>;

    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    static constexpr auto ReceiveBufferBytes = 16 << 10;

    auto accept() -> transport::Task<void>
    {
        while (true) {
            auto [ec, accepted] = co_await m_acceptor.async_accept(asTuple);
            if (ec)
                co_return;
            const auto socket = std::make_shared<Socket>(std::move(accepted));
            socket->set_option(boost::asio::ip::tcp::no_delay(true));
            m_open.insert(socket);
            boost::asio::co_spawn(m_io, serve(socket), [this, socket](auto) { end(socket); });
        }
    }

    auto serve(SocketPtr socket) -> transport::Task<void>
    {
        auto request = std::string();
        const auto [ec, n] = co_await boost::asio::async_read_until(
                *socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
        if (ec)
            co_return;
        const auto script = takeScript();
        const auto early = request.size() - n; // Bytes of the body that arrived with the head.
        co_await read(*socket, script.readBytes - std::min(script.readBytes, early));
        co_await pause(script.pauseBeforeAnswer);
        const auto answer = withId(script.answer, idIn(request));
        co_await boost::asio::async_write(*socket, boost::asio::buffer(answer), asTuple);
        co_await pause(script.pauseBeforeEnd);
        if (script.ending == Ending::ReadRestThenClose)
            co_await readUntilQuiet(*socket);
        if (script.ending == Ending::Reset)
            socket->set_option(boost::asio::socket_base::linger(true, 0));
        if (script.ending == Ending::Keep)
            co_await waitForClient(*socket);
    }

    auto end(const SocketPtr &socket) -> void
    {
        auto ec = boost::system::error_code();
        socket->close(ec);
        m_open.erase(socket);
    }

    auto takeScript() -> Script
    {
        const auto lock = std::scoped_lock(m_mutex);
        ++m_requests;
        return m_script;
    }

    static auto read(Socket &socket, std::size_t count) -> transport::Task<void>
    {
        auto buf = std::array<char, 4096>();
        while (count > 0) {
            const auto wanted = std::min(count, buf.size());
            const auto [ec, n] = co_await socket.async_read_some(
                    boost::asio::buffer(buf.data(), wanted), asTuple);
            if (ec)
                co_return;
            count -= n;
        }
    }

    static auto readUntilQuiet(Socket &socket) -> transport::Task<void>
    {
        static constexpr auto Quiet = std::chrono::milliseconds(50);
        auto buf = std::array<char, 65536>();
        auto timer = boost::asio::steady_timer(socket.get_executor());
        while (true) {
            timer.expires_after(Quiet);
            timer.async_wait([&socket](auto ec) {
                if (!ec)
                    socket.cancel();
            });
            const auto [ec, n] = co_await socket.async_read_some(boost::asio::buffer(buf), asTuple);
            if (ec)
                co_return;
        }
    }

    /// Waits until the client closes. What it sends stays unread.
    static auto waitForClient(Socket &socket) -> transport::Task<void>
    {
        co_await socket.async_wait(Socket::wait_error, asTuple);
    }

    auto pause(std::chrono::milliseconds length) -> transport::Task<void>
    {
        if (length == std::chrono::milliseconds::zero())
            co_return;
        auto timer = boost::asio::steady_timer(m_io, length);
        co_await timer.async_wait(asTuple);
    }

    static auto idIn(std::string_view head) -> std::string_view
    {
        static constexpr auto Name = std::string_view("X-Attempt-Id: ");
        const auto at = head.find(Name);
        if (at == std::string_view::npos)
            return {};
        const auto value = head.substr(at + Name.size());
        return value.substr(0, value.find('\r'));
    }

    static auto withId(std::string text, std::string_view id) -> std::string
    {
        static constexpr auto Mark = std::string_view("{id}");
        for (auto at = text.find(Mark); at != std::string::npos; at = text.find(Mark, at))
            text.replace(at, Mark.size(), id);
        return text;
    }

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<SocketPtr> m_open;
    mutable std::mutex m_mutex;
    Script m_script;
    int m_requests = 0;
};

} // namespace stairspur::standin
