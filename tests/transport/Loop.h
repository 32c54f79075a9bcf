#pragma once

#include <chrono>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <stairspur/transport/Task.h>

/// Runs both ends of a connection in the test's own thread, and waits for events, never for a time to pass.
namespace stairspur::transport::test {

/// An upper bound that only a hanging test meets.
inline constexpr auto HangTimeout = std::chrono::seconds(20);

inline auto runUntil(asio::io_context &io, const std::function<bool()> &isDone) -> void
{
    const auto deadline = std::chrono::steady_clock::now() + HangTimeout;
    while (!isDone()) {
        if (io.stopped())
            io.restart();
        io.run_one_until(deadline);
        cr_assert(std::chrono::steady_clock::now() < deadline, "the awaited event never came");
    }
}

template <typename Value>
auto runTask(asio::io_context &io, Task<Value> task) -> Value
{
    auto error = std::exception_ptr();
    auto value = std::optional<Value>();
    auto isDone = false;
    asio::co_spawn(io, std::move(task), [&](const std::exception_ptr &e, Value v) {
        error = e;
        value = std::move(v);
        isDone = true;
    });
    runUntil(io, [&] { return isDone; });
    if (error)
        std::rethrow_exception(error);
    return std::move(*value);
}

/// A condition that one coroutine waits for and another fulfils.
class Event
{
public:
    explicit Event(const asio::any_io_executor &executor)
        : m_timer(executor, std::chrono::steady_clock::time_point::max())
    {}
    explicit Event(asio::io_context &io)
        : Event(io.get_executor())
    {}

    auto set() -> void
    {
        m_isSet = true;
        m_timer.cancel();
    }

    [[nodiscard]] auto isSet() const -> bool { return m_isSet; }

    auto wait() -> Task<void>
    {
        while (!m_isSet) {
            auto ec = boost::system::error_code();
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }

private:
    asio::steady_timer m_timer;
    bool m_isSet = false;
};

/// A peer that sends whatever bytes a test wants.
class RawPeer
{
public:
    RawPeer(asio::io_context &io, std::uint16_t port)
        : m_io(io)
        , m_socket(io)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
    }

    auto write(std::string_view bytes) -> void { asio::write(m_socket, asio::buffer(bytes)); }

    /// Everything up to the far end's close.
    auto readAll() -> std::string
    {
        auto bytes = std::string();
        auto isDone = false;
        asio::async_read(m_socket, asio::dynamic_buffer(bytes), [&](auto, auto) { isDone = true; });
        runUntil(m_io, [&] { return isDone; });
        return bytes;
    }

    /// Up to and including the first `mark`.
    auto readUntil(std::string_view mark) -> std::string
    {
        auto isDone = false;
        auto found = std::size_t{0};
        asio::async_read_until(m_socket, asio::dynamic_buffer(m_bytes), mark, [&](auto ec, auto n) {
            found = ec ? m_bytes.size() : n;
            isDone = true;
        });
        runUntil(m_io, [&] { return isDone; });
        auto head = m_bytes.substr(0, found);
        m_bytes.erase(0, found);
        return head;
    }

    auto closeSending() -> void { m_socket.shutdown(asio::socket_base::shutdown_send); }
    auto close() -> void { m_socket.close(); }

private:
    asio::io_context &m_io;
    asio::ip::tcp::socket m_socket;
    std::string m_bytes;
};

} // namespace stairspur::transport::test
