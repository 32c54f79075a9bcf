#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <stairspur/transport/Task.h>

namespace stairspur::transport {

/// A websocket (RFC 6455) over a connected socket, carrying binary messages.
///
/// websocketpp speaks the protocol; the bytes go through here, not through its own asio transport, because that one
/// tells nobody when a write is done. A link has to know, to take the next piece of the next body only when the last
/// ones are out. See docs/design/transport.md.
class WebSocketStream : public std::enable_shared_from_this<WebSocketStream>
{
public:
    /// Told of what happens. Its owner keeps it alive until didClose, or calls abort first.
    class Observer
    {
    public:
        virtual ~Observer() = default;
        virtual auto didOpen() -> void = 0;
        virtual auto didReceive(std::string_view message) -> void = 0;
        /// Everything that was sent is with the operating system.
        virtual auto didFlush() -> void = 0;
        /// The last event. `isGraceful`: the far end said that it goes away, having answered all that it took.
        virtual auto didClose(bool isGraceful, const std::string &why) -> void = 0;
    };

    enum class Role { Client, Server };

    WebSocketStream(asio::ip::tcp::socket socket, Role role, std::size_t maxMessageBytes,
                    Observer &observer);
    ~WebSocketStream();
    WebSocketStream(const WebSocketStream &) = delete;
    WebSocketStream(WebSocketStream &&) = delete;
    auto operator=(const WebSocketStream &) -> WebSocketStream & = delete;
    auto operator=(WebSocketStream &&) -> WebSocketStream & = delete;

    /// Begins the opening handshake.
    auto start() -> void;
    auto send(std::string_view message) -> void;
    auto ping() -> void;

    /// Says that this end goes away, and closes once that is out. Nothing that arrives later is handed on.
    auto close() -> void;

    /// Closes at once, without a didClose.
    auto abort() -> void;

    /// Bytes that wait for the operating system to take them.
    [[nodiscard]] auto waitingBytes() const -> std::size_t
    {
        return m_waiting.size() + m_writing.size();
    }
    [[nodiscard]] auto bytesSent() const -> std::uint64_t { return m_bytesSent; }
    [[nodiscard]] auto bytesReceived() const -> std::uint64_t { return m_bytesReceived; }
    [[nodiscard]] auto remoteAddress() const -> const std::string & { return m_remoteAddress; }

    /// The bytes on the wire of a received message of `n` bytes, its header included (RFC 6455, section 5.2).
    [[nodiscard]] auto receivedSize(std::size_t n) const -> std::uint64_t;

private:
    class Protocol;

    auto read() -> void;
    auto readWaiting() -> void;
    auto didRead(std::string_view bytes) -> void;
    auto flush() -> void;
    auto didWrite() -> void;
    auto finish(bool isGraceful, const std::string &why) -> void;

    asio::ip::tcp::socket m_socket;
    Role m_role;
    Observer &m_observer;
    std::unique_ptr<Protocol> m_protocol;
    std::string m_remoteAddress;
    std::string m_waiting;
    std::string m_writing;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    bool m_isWriting = false;
    bool m_isClosing = false;
    bool m_isClosed = false;
};

} // namespace stairspur::transport
