#include <stairspur/transport/HttpServer.h>

#include <set>

#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>

#include <stairspur/core/Error.h>

#include "HttpConnection.h"
#include "TcpListener.h"

namespace stairspur::transport {

/// Connections past the limit that are told so; those past these as well are closed without a word.
static constexpr auto MaxRefusedConnections = std::size_t{64};

class HttpServer::Listener : public std::enable_shared_from_this<HttpServer::Listener>
{
public:
    Listener(asio::io_context &io, HttpServerSettings settings, Handler handler)
        : m_io(io)
        , m_tcp(std::make_shared<TcpListener>(io))
        , m_context(std::make_shared<HttpConnectionContext>())
    {
        m_context->settings = std::move(settings);
        m_context->handler = std::move(handler);
    }

    auto start() -> void
    {
        // The connections may outlive the listener's owner, but not the listener that they report to.
        m_context->didEnd = [weak = weak_from_this()](HttpConnectionBase *it) {
            if (const auto self = weak.lock())
                self->didEnd(it);
        };
        if (!m_context->settings.certificateFile.empty())
            loadCertificate();
        m_tcp->listen(m_context->settings.address, m_context->settings.port);
        m_tcp->accept([self = shared_from_this()](auto socket) { self->serve(std::move(socket)); });
    }

    auto drain(std::function<void()> didFinish) -> void
    {
        m_didFinish = std::move(didFinish);
        m_isDraining = true;
        m_tcp->close();
        // A connection that closes leaves the set only later, from the io_context.
        for (auto *it : m_connections)
            it->drain();
        finishIfDrained();
    }

    auto endRequests(std::function<void()> didFinish) -> void
    {
        m_didFinish = std::move(didFinish);
        m_isDraining = true;
        m_tcp->close();
        for (auto *it : m_connections)
            it->endRequest();
        finishIfDrained();
    }

    auto setLimits(const HttpServerSettings &settings) -> void
    {
        auto &own = m_context->settings;
        own.maxHeaderBytes = settings.maxHeaderBytes;
        own.maxBodyBytes = settings.maxBodyBytes;
        own.headerTimeout = settings.headerTimeout;
        own.requestTimeout = settings.requestTimeout;
        own.idleTimeout = settings.idleTimeout;
    }

    auto startClosing() -> void { m_context->isClosing = true; }

    auto abort() -> void
    {
        m_tcp->close();
        m_didFinish = nullptr;
        for (auto *it : m_connections)
            it->abort();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_tcp->port(); }
    [[nodiscard]] auto connections() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_connections.size());
    }

private:
    auto loadCertificate() -> void
    {
        try {
            m_tls.emplace(asio::ssl::context::tls_server);
            m_tls->set_options(asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1
                               | asio::ssl::context::no_tlsv1_1);
            m_tls->use_certificate_chain_file(m_context->settings.certificateFile);
            m_tls->use_private_key_file(m_context->settings.keyFile, asio::ssl::context::pem);
        } catch (const boost::system::system_error &error) {
            throw SettingError("the certificate or its key cannot be read: "
                                       + std::string(error.what()),
                               "name readable PEM files that belong together");
        }
    }

    auto serve(asio::ip::tcp::socket socket) -> void
    {
        const auto limit = m_context->settings.maxConnections;
        if (m_connections.size() >= limit + MaxRefusedConnections)
            return;
        const auto isRefused = m_connections.size() >= limit;
        if (m_tls)
            startConnection(asio::ssl::stream<asio::ip::tcp::socket>(std::move(socket), *m_tls),
                            isRefused);
        else
            startConnection(std::move(socket), isRefused);
    }

    template <typename Stream>
    auto startConnection(Stream stream, bool isRefused) -> void
    {
        auto connection = std::make_shared<HttpConnection<Stream>>(std::move(stream), m_context);
        m_connections.insert(connection.get());
        connection->start(isRefused);
    }

    auto didEnd(HttpConnectionBase *connection) -> void
    {
        m_connections.erase(connection);
        finishIfDrained();
    }

    auto finishIfDrained() -> void
    {
        if (m_isDraining && m_connections.empty() && m_didFinish)
            asio::post(m_io, std::exchange(m_didFinish, nullptr));
    }

    asio::io_context &m_io;
    std::shared_ptr<TcpListener> m_tcp;
    std::shared_ptr<HttpConnectionContext> m_context;
    std::optional<asio::ssl::context> m_tls;
    std::set<HttpConnectionBase *> m_connections;
    std::function<void()> m_didFinish;
    bool m_isDraining = false;
};

HttpServer::HttpServer(asio::io_context &io, HttpServerSettings settings, Handler handler)
    : m_listener(std::make_shared<Listener>(io, std::move(settings), std::move(handler)))
{}

HttpServer::~HttpServer()
{
    m_listener->abort();
}

auto HttpServer::start() -> void
{
    m_listener->start();
}

auto HttpServer::setLimits(const HttpServerSettings &settings) -> void
{
    m_listener->setLimits(settings);
}

auto HttpServer::startClosing() -> void
{
    m_listener->startClosing();
}

auto HttpServer::drain(std::function<void()> didFinish) -> void
{
    m_listener->drain(std::move(didFinish));
}

auto HttpServer::endRequests(std::function<void()> didFinish) -> void
{
    m_listener->endRequests(std::move(didFinish));
}

auto HttpServer::port() const -> std::uint16_t
{
    return m_listener->port();
}

auto HttpServer::connections() const -> std::uint32_t
{
    return m_listener->connections();
}

} // namespace stairspur::transport
