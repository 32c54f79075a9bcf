#include <stairspur/transport/HttpServer.h>

#include <set>

#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>

#include <stairspur/core/Error.h>

#include "HttpConnection.h"

namespace stairspur::transport {

/// Connections past the limit that are told so; those past these as well are closed without a word.
static constexpr auto MaxRefusedConnections = std::size_t{64};

/// How long accepting rests after it failed for want of file descriptors.
static constexpr auto AcceptRest = std::chrono::milliseconds(20);

class HttpServer::Listener : public std::enable_shared_from_this<HttpServer::Listener>
{
public:
    Listener(asio::io_context &io, HttpServerSettings settings, Handler handler)
        : m_io(io)
        , m_acceptor(io)
        , m_rest(io)
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
        bind();
        accept();
    }

    auto drain(std::function<void()> didFinish) -> void
    {
        m_didFinish = std::move(didFinish);
        m_isDraining = true;
        closeAcceptor();
        // A connection that closes leaves the set only later, from the io_context.
        for (auto *it : m_connections)
            it->drain();
        finishIfDrained();
    }

    auto abort() -> void
    {
        closeAcceptor();
        m_didFinish = nullptr;
        for (auto *it : m_connections)
            it->abort();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }
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

    auto bind() -> void
    {
        const auto &settings = m_context->settings;
        try {
            const auto address = asio::ip::make_address(settings.address);
            const auto endpoint = asio::ip::tcp::endpoint(address, settings.port);
            m_acceptor.open(endpoint.protocol());
            m_acceptor.set_option(asio::socket_base::reuse_address(true));
            m_acceptor.bind(endpoint);
            m_acceptor.listen();
            m_port = m_acceptor.local_endpoint().port();
        } catch (const boost::system::system_error &error) {
            throw SettingError("cannot listen on " + settings.address + ":"
                                       + std::to_string(settings.port) + " (" + error.what() + ")",
                               "name an address of this host and a port that is free");
        }
    }

    auto accept() -> void
    {
        m_acceptor.async_accept([self = shared_from_this()](auto ec, auto socket) {
            if (!self->m_acceptor.is_open())
                return;
            if (ec) {
                self->restThenAccept(ec);
                return;
            }
            self->serve(std::move(socket));
            self->accept();
        });
    }

    auto restThenAccept(boost::system::error_code why) -> void
    {
        log::Line(log::Severity::Warning, "http-accept-failed").add("error", why.message());
        m_rest.expires_after(AcceptRest);
        m_rest.async_wait([self = shared_from_this()](auto ec) {
            if (!ec && self->m_acceptor.is_open())
                self->accept();
        });
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

    auto closeAcceptor() -> void
    {
        auto ec = boost::system::error_code();
        m_acceptor.close(ec);
        m_rest.cancel();
    }

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_rest;
    std::shared_ptr<HttpConnectionContext> m_context;
    std::optional<asio::ssl::context> m_tls;
    std::set<HttpConnectionBase *> m_connections;
    std::function<void()> m_didFinish;
    std::uint16_t m_port = 0;
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

auto HttpServer::drain(std::function<void()> didFinish) -> void
{
    m_listener->drain(std::move(didFinish));
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
