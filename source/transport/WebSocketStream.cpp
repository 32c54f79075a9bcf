#include "WebSocketStream.h"

#include <array>
#include <optional>
#include <random>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/server.hpp>

namespace stairspur::transport {

static constexpr auto ReadBytes = std::size_t{32} << 10U;

/// What websocketpp keeps for each connection to take bytes out of; a larger frame goes through it in several turns.
static constexpr auto ProtocolReadBytes = std::size_t{4} << 10U;

/// Bytes that the kernel may hold unsent, beyond which a socket takes no more: what waits there can't be overtaken by
/// a small message, what waits with us can.
static constexpr auto MaxUnsentBytes = 32 << 10;

/// Masking keys (RFC 6455, section 5.3). They keep browsers' scripts from forging bytes at proxies, which does not
/// concern links between nodes, so that a fast and small generator does.
class MaskingKeys
{
public:
    auto operator()() -> std::uint32_t { return static_cast<std::uint32_t>(m_random()); }

private:
    std::minstd_rand m_random{std::random_device()()};
};

/// One thread, no logs of its own (we write them), no compression. websocketpp gives the names.
// NOLINTBEGIN(readability-identifier-naming)
struct WebSocketConfig : public websocketpp::config::core
{
    using type = WebSocketConfig;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using rng_type = MaskingKeys;

    static const bool enable_multithreading = false;
    static const bool drop_on_protocol_error = true;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    static const std::size_t max_http_body_size = 4096;
    static const std::size_t connection_read_buffer_size = ProtocolReadBytes;

    struct transport_config : public websocketpp::config::core::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        static const bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
};
// NOLINTEND(readability-identifier-naming)

using WebSocketServer = websocketpp::server<WebSocketConfig>;
using WebSocketClient = websocketpp::client<WebSocketConfig>;
using WebSocketConnection = websocketpp::connection<WebSocketConfig>;

/// The state of websocketpp for one connection. Its endpoint has to live as long, so each has its own.
class WebSocketStream::Protocol
{
public:
    Protocol(WebSocketStream &owner, Role role, std::size_t maxMessageBytes)
    {
        namespace ws = websocketpp;
        auto ec = ws::lib::error_code();
        if (role == Role::Server) {
            m_server.emplace();
            m_server->clear_access_channels(ws::log::alevel::all);
            m_server->clear_error_channels(ws::log::elevel::all);
            m_connection = m_server->get_connection();
        } else {
            m_client.emplace();
            m_client->clear_access_channels(ws::log::alevel::all);
            m_client->clear_error_channels(ws::log::elevel::all);
            m_connection = m_client->get_connection("ws://peer/", ec);
        }
        m_connection->set_max_message_size(maxMessageBytes);
        setHandlers(owner);
    }

    auto start() -> void
    {
        if (m_client)
            m_client->connect(m_connection);
        else
            m_connection->start();
    }

    [[nodiscard]] auto connection() const -> WebSocketConnection & { return *m_connection; }

    /// Whether the far end closed by saying that it goes away.
    [[nodiscard]] auto hasFarEndGone() const -> bool
    {
        return m_connection->get_remote_close_code() == websocketpp::close::status::going_away;
    }

    [[nodiscard]] auto error() const -> std::string { return m_connection->get_ec().message(); }

private:
    /// The owner outlives its protocol, so a plain reference does.
    auto setHandlers(WebSocketStream &owner) -> void
    {
        using Handle = websocketpp::connection_hdl;
        m_connection->set_write_handler([&owner](const Handle &, const char *bytes, std::size_t n) {
            owner.m_waiting.append(bytes, n);
            owner.m_bytesSent += n;
            return websocketpp::lib::error_code();
        });
        m_connection->set_open_handler([&owner](const Handle &) { owner.m_observer.didOpen(); });
        m_connection->set_message_handler(
                [&owner](const Handle &, const WebSocketConnection::message_ptr &message) {
                    if (!owner.m_isClosing && !owner.m_isClosed)
                        owner.m_observer.didReceive(message->get_payload());
                });
        m_connection->set_fail_handler([&owner, this](const Handle &) {
            owner.finish(false, "the websocket handshake failed: " + error());
        });
        m_connection->set_close_handler([&owner, this](const Handle &) {
            const auto isGraceful = hasFarEndGone();
            owner.finish(isGraceful, isGraceful ? "the far end goes away" : error());
        });
    }

    std::optional<WebSocketServer> m_server;
    std::optional<WebSocketClient> m_client;
    WebSocketConnection::ptr m_connection;
};

WebSocketStream::WebSocketStream(asio::ip::tcp::socket socket, Role role,
                                 std::size_t maxMessageBytes, Observer &observer)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_observer(observer)
    , m_protocol(std::make_unique<Protocol>(*this, role, maxMessageBytes))
{
    auto ec = boost::system::error_code();
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    const auto remote = m_socket.remote_endpoint(ec);
    m_remoteAddress = ec ? std::string() : remote.address().to_string();
    const auto limit = MaxUnsentBytes;
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &limit, sizeof limit);
}

WebSocketStream::~WebSocketStream()
{
    // websocketpp holds on to a connection that waits for bytes; their end lets go of it.
    m_isClosed = true;
    m_protocol->connection().eof();
}

auto WebSocketStream::start() -> void
{
    m_protocol->start();
    flush();
    read();
}

auto WebSocketStream::send(std::string_view message) -> void
{
    if (m_isClosing || m_isClosed)
        return;
    m_protocol->connection().send(message.data(), message.size(),
                                  websocketpp::frame::opcode::binary);
    flush();
}

auto WebSocketStream::ping() -> void
{
    if (m_isClosing || m_isClosed)
        return;
    auto ec = websocketpp::lib::error_code();
    m_protocol->connection().ping("", ec);
    flush();
}

auto WebSocketStream::close() -> void
{
    if (m_isClosing || m_isClosed)
        return;
    m_isClosing = true;
    auto ec = websocketpp::lib::error_code();
    m_protocol->connection().close(websocketpp::close::status::going_away, "", ec);
    if (ec) {
        finish(false, ec.message());
        return;
    }
    flush();
}

auto WebSocketStream::abort() -> void
{
    m_isClosed = true;
    auto ec = boost::system::error_code();
    m_socket.close(ec);
}

auto WebSocketStream::receivedSize(std::size_t n) const -> std::uint64_t
{
    static constexpr auto BasicHeader = std::uint64_t{2};
    static constexpr auto MaskingKey = std::uint64_t{4};
    static constexpr auto LargestBasic = std::size_t{125};
    static constexpr auto LargestMedium = std::size_t{65535};
    const auto extended = n <= LargestBasic ? 0U : n <= LargestMedium ? 2U : 8U;
    return n + BasicHeader + extended + (m_role == Role::Server ? MaskingKey : 0U);
}

/// Waits without a buffer: most links of a node are idle, and one buffer serves all links of a thread.
auto WebSocketStream::read() -> void
{
    m_socket.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](auto ec) {
        if (self->m_isClosed)
            return;
        if (ec)
            self->finish(false, ec.message());
        else
            self->readWaiting();
    });
}

auto WebSocketStream::readWaiting() -> void
{
    static thread_local auto input = std::array<char, ReadBytes>();
    auto ec = boost::system::error_code();
    const auto n = m_socket.read_some(asio::buffer(input), ec);
    if (ec == asio::error::would_block)
        read();
    else if (ec)
        finish(false, ec.message());
    else
        didRead(std::string_view(input.data(), n));
}

auto WebSocketStream::didRead(std::string_view bytes) -> void
{
    m_bytesReceived += bytes.size();
    m_protocol->connection().read_all(bytes.data(), bytes.size());
    if (m_isClosed)
        return;
    if (!m_isClosing && m_protocol->hasFarEndGone()) {
        finish(true, "the far end goes away");
        return;
    }
    flush();
    read();
}

auto WebSocketStream::flush() -> void
{
    if (m_isWriting || m_isClosed || m_waiting.empty())
        return;
    m_isWriting = true;
    std::swap(m_waiting, m_writing);
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](auto ec, auto) {
                          self->m_isWriting = false;
                          self->m_writing.clear();
                          if (self->m_isClosed)
                              return;
                          if (ec)
                              self->finish(false, ec.message());
                          else
                              self->didWrite();
                      });
}

auto WebSocketStream::didWrite() -> void
{
    if (!m_waiting.empty()) {
        flush();
        return;
    }
    if (!m_isClosing) {
        m_observer.didFlush();
        return;
    }
    // Reading goes on up to the far end's close: closing with bytes unread would reset the connection, and the far end
    // might never read that we went away.
    auto ec = boost::system::error_code();
    m_socket.shutdown(asio::socket_base::shutdown_send, ec);
}

auto WebSocketStream::finish(bool isGraceful, const std::string &why) -> void
{
    if (m_isClosed)
        return;
    const auto self = shared_from_this();
    abort();
    m_observer.didClose(isGraceful, why);
}

} // namespace stairspur::transport
