#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <stairspur/transport/Task.h>

namespace stairspur::transport::test {

/// Stands between clients and a server on loopback. Connections that are open can be made silent: they stay open and
/// carry nothing, while new ones work.
class SilencingRelay
{
public:
    SilencingRelay(asio::io_context &io, std::uint16_t port)
        : m_state(std::make_shared<State>(io, port))
    {
        asio::co_spawn(io, m_state->accept(), asio::detached);
    }
    ~SilencingRelay() { m_state->close(); }
    SilencingRelay(const SilencingRelay &) = delete;
    SilencingRelay(SilencingRelay &&) = delete;
    auto operator=(const SilencingRelay &) -> SilencingRelay & = delete;
    auto operator=(SilencingRelay &&) -> SilencingRelay & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_state->acceptor.local_endpoint().port();
    }
    /// Connections that were accepted.
    [[nodiscard]] auto accepted() const -> std::size_t { return m_state->pairs.size(); }

    /// Connections that the client has not closed.
    [[nodiscard]] auto open() const -> std::size_t
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                m_state->pairs, [](const auto &it) { return !it->isClosedByClient; }));
    }

    auto silenceOpen() -> void
    {
        for (const auto &it : m_state->pairs)
            it->isSilent = true;
    }

    /// Connections go on with what came while they were silent.
    auto resume() -> void
    {
        for (const auto &it : m_state->pairs) {
            it->isSilent = false;
            for (auto *way : {&it->there, &it->back})
                asio::co_spawn(m_state->io, m_state->deliver(it, *way), asio::detached);
        }
    }

private:
    /// One direction of a connection.
    struct Way
    {
        asio::ip::tcp::socket &from;
        asio::ip::tcp::socket &to;
        std::string held;
        bool isWriting = false;
    };

    struct Pair
    {
        explicit Pair(asio::io_context &io)
            : near(io)
            , far(io)
        {}

        asio::ip::tcp::socket near;
        asio::ip::tcp::socket far;
        Way there{near, far, {}};
        Way back{far, near, {}};
        bool isSilent = false;
        bool isClosedByClient = false;
    };
    using PairPtr = std::shared_ptr<Pair>;

    struct State : std::enable_shared_from_this<State>
    {
        State(asio::io_context &loop, std::uint16_t serverPort)
            : io(loop)
            , acceptor(loop, {asio::ip::address_v4::loopback(), 0})
            , server(asio::ip::address_v4::loopback(), serverPort)
        {}

        auto accept() -> Task<void>
        {
            const auto self = shared_from_this();
            while (acceptor.is_open()) {
                const auto pair = std::make_shared<Pair>(io);
                const auto [ec] = co_await acceptor.async_accept(
                        pair->near, asio::as_tuple(asio::use_awaitable));
                if (ec)
                    co_return;
                pairs.push_back(pair);
                asio::co_spawn(io, serve(pair), asio::detached);
            }
        }

        auto serve(PairPtr pair) -> Task<void>
        {
            const auto self = shared_from_this();
            const auto [ec] =
                    co_await pair->far.async_connect(server, asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
            asio::co_spawn(io, pass(pair, pair->there), asio::detached);
            co_await pass(pair, pair->back);
        }

        auto pass(PairPtr pair, Way &way) -> Task<void>
        {
            const auto self = shared_from_this();
            auto bytes = std::array<char, 4096>();
            while (true) {
                const auto [ec, n] = co_await way.from.async_read_some(
                        asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
                if (ec)
                    break;
                way.held.append(bytes.data(), n);
                co_await deliver(pair, way);
            }
            pair->isClosedByClient = pair->isClosedByClient || &way == &pair->there;
            // Of a silent connection nobody learns that it was closed.
            auto ignored = boost::system::error_code();
            if (!pair->isSilent)
                way.to.shutdown(asio::socket_base::shutdown_send, ignored);
        }

        auto deliver(PairPtr pair, Way &way) -> Task<void>
        {
            const auto self = shared_from_this();
            if (way.isWriting)
                co_return;
            way.isWriting = true;
            while (!pair->isSilent && !way.held.empty()) {
                const auto bytes = std::exchange(way.held, {});
                co_await asio::async_write(way.to, asio::buffer(bytes),
                                           asio::as_tuple(asio::use_awaitable));
            }
            way.isWriting = false;
        }

        auto close() -> void
        {
            acceptor.close();
            for (const auto &it : pairs) {
                it->near.close();
                it->far.close();
            }
        }

        asio::io_context &io;
        asio::ip::tcp::acceptor acceptor;
        asio::ip::tcp::endpoint server;
        std::vector<PairPtr> pairs;
    };

    std::shared_ptr<State> m_state;
};

} // namespace stairspur::transport::test
