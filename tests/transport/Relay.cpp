#include "Relay.h"

#include <boost/asio/detached.hpp>

namespace stairspur::transport::test {

struct Relay::State : std::enable_shared_from_this<Relay::State>
{
    explicit State(asio::io_context &loop)
        : io(loop)
        , acceptor(loop, {asio::ip::address_v4::loopback(), 0})
        , near(loop)
        , far(loop)
    {}

    auto serve(std::uint16_t port) -> Task<void>
    {
        const auto self = shared_from_this();
        co_await acceptor.async_accept(near, asio::use_awaitable);
        co_await far.async_connect({asio::ip::address_v4::loopback(), port}, asio::use_awaitable);
        asio::co_spawn(io, pass(near, far), asio::detached);
        co_await pass(far, near);
    }

    auto pass(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to) -> Task<void>
    {
        const auto self = shared_from_this();
        auto bytes = std::array<char, 4096>();
        while (!isStalled || &from == &near) {
            const auto n = co_await from.async_read_some(asio::buffer(bytes), asio::use_awaitable);
            if (!isMuted)
                co_await asio::async_write(to, asio::buffer(bytes, n), asio::use_awaitable);
        }
    }

    asio::io_context &io;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket near;
    asio::ip::tcp::socket far;
    bool isMuted = false;
    bool isStalled = false;
};

Relay::Relay(asio::io_context &io, std::uint16_t port)
    : m_state(std::make_shared<State>(io))
{
    asio::co_spawn(io, m_state->serve(port), asio::detached);
}

Relay::~Relay()
{
    m_state->acceptor.close();
    cut();
}

auto Relay::port() const -> std::uint16_t
{
    return m_state->acceptor.local_endpoint().port();
}

auto Relay::mute() -> void
{
    m_state->isMuted = true;
}

auto Relay::stall() -> void
{
    m_state->isStalled = true;
}

auto Relay::cut() -> void
{
    m_state->near.close();
    m_state->far.close();
}

} // namespace stairspur::transport::test
