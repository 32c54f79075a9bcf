#pragma once

#include <memory>
#include <string>
#include <vector>

#include "../../source/transport/Frames.h"
#include "../../source/transport/WebSocketStream.h"
#include "Loop.h"

namespace stairspur::transport::test {

/// One end of a peer link that speaks frame by frame, so that a test can send what no node would.
class FakePeer : private WebSocketStream::Observer
{
public:
    using Role = WebSocketStream::Role;

    /// Connects to a server on `port`.
    FakePeer(asio::io_context &io, std::uint16_t port, std::string secret = {})
        : m_io(io)
        , m_role(Role::Client)
        , m_secret(std::move(secret))
    {
        auto socket = asio::ip::tcp::socket(io);
        socket.connect({asio::ip::address_v4::loopback(), port});
        begin(std::move(socket));
    }

    /// Accepts a client's link.
    FakePeer(asio::io_context &io, asio::ip::tcp::acceptor &acceptor)
        : m_io(io)
        , m_role(Role::Server)
    {
        auto isAccepted = false;
        auto socket = asio::ip::tcp::socket(io);
        acceptor.async_accept(socket, [&](auto) { isAccepted = true; });
        runUntil(io, [&] { return isAccepted; });
        begin(std::move(socket));
    }

    ~FakePeer() override { m_stream->abort(); }
    FakePeer(const FakePeer &) = delete;
    FakePeer(FakePeer &&) = delete;
    auto operator=(const FakePeer &) -> FakePeer & = delete;
    auto operator=(FakePeer &&) -> FakePeer & = delete;

    /// Goes through hellos and proofs.
    auto shakeHands() -> void
    {
        const auto isClient = m_role == Role::Client;
        send(writeHello("fake", "nonce"));
        const auto bytes = next();
        const auto hello = readFrame(bytes);
        send(writeProof(makeProof(m_secret, {isClient ? "client" : "server", "fake", "nonce",
                                             hello.node, hello.proof})));
        cr_assert(readFrame(next()).kind == FrameKind::Proof);
    }

    auto send(std::string_view message) -> void { m_stream->send(message); }
    auto close() -> void { m_stream->close(); }
    auto abort() -> void { m_stream->abort(); }

    /// The next message that comes.
    auto next() -> std::string
    {
        runUntil(m_io, [&] { return m_read < m_received.size(); });
        return m_received[m_read++];
    }

    auto waitForClose() -> void
    {
        runUntil(m_io, [&] { return m_isClosed; });
    }

    /// Of everything, pings included.
    [[nodiscard]] auto bytesReceived() const -> std::uint64_t { return m_stream->bytesReceived(); }
    [[nodiscard]] auto isClosed() const -> bool { return m_isClosed; }

private:
    auto begin(asio::ip::tcp::socket socket) -> void
    {
        static constexpr auto MaxMessage = std::size_t{1} << 20U;
        m_stream =
                std::make_shared<WebSocketStream>(std::move(socket), m_role, MaxMessage,
                                                  static_cast<WebSocketStream::Observer &>(*this));
        m_stream->start();
        runUntil(m_io, [&] { return m_isOpen || m_isClosed; });
    }

    auto didOpen() -> void override { m_isOpen = true; }
    auto didReceive(std::string_view message) -> void override { m_received.emplace_back(message); }
    auto didFlush() -> void override {}
    auto didClose(bool, const std::string &) -> void override { m_isClosed = true; }

    asio::io_context &m_io;
    Role m_role;
    std::string m_secret;
    std::shared_ptr<WebSocketStream> m_stream;
    std::vector<std::string> m_received;
    std::size_t m_read = 0;
    bool m_isOpen = false;
    bool m_isClosed = false;
};

} // namespace stairspur::transport::test
