#include <stairspur/transport/PeerServer.h>

#include <optional>
#include <unordered_map>

#include <boost/asio/post.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

#include "PeerServerLink.h"

namespace stairspur::transport {

/// How long accepting rests after it failed for want of file descriptors.
static constexpr auto AcceptRest = std::chrono::milliseconds(20);

class PeerServer::Acceptor : public std::enable_shared_from_this<PeerServer::Acceptor>
{
public:
    Acceptor(asio::io_context &io, std::string address, std::uint16_t port, PeerSettings settings)
        : m_acceptor(io)
        , m_rest(io)
        , m_address(std::move(address))
        , m_port(port)
        , m_context(std::make_shared<PeerServerContext>(io))
    {
        m_context->settings = std::move(settings);
    }

    auto context() -> PeerServerContext & { return *m_context; }
    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }

    auto start() -> void
    {
        m_context->didEnd = [weak = weak_from_this()](PeerServerLink *it) {
            if (const auto self = weak.lock())
                self->didEnd(it);
        };
        bind();
        accept();
    }

    auto drain(std::function<void()> didFinish) -> void
    {
        m_didFinish = std::move(didFinish);
        m_isDraining = true;
        closeAcceptor();
        // A link leaves the map while it is told, so that a copy is walked over.
        const auto links = m_links;
        for (const auto &[key, link] : links)
            link->drain();
        finishIfDrained();
    }

    auto abort() -> void
    {
        closeAcceptor();
        m_didFinish = nullptr;
        const auto links = std::exchange(m_links, {});
        for (const auto &[key, link] : links)
            link->abort();
    }

private:
    auto bind() -> void
    {
        try {
            const auto endpoint =
                    asio::ip::tcp::endpoint(asio::ip::make_address(m_address), m_port);
            m_acceptor.open(endpoint.protocol());
            m_acceptor.set_option(asio::socket_base::reuse_address(true));
            m_acceptor.bind(endpoint);
            m_acceptor.listen();
            m_port = m_acceptor.local_endpoint().port();
        } catch (const boost::system::system_error &error) {
            throw SettingError("cannot listen on " + m_address + ":" + std::to_string(m_port) + " ("
                                       + error.what() + ")",
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
        log::Line(log::Severity::Warning, "peer-accept-failed").add("error", why.message());
        m_rest.expires_after(AcceptRest);
        m_rest.async_wait([self = shared_from_this()](auto ec) {
            if (!ec && self->m_acceptor.is_open())
                self->accept();
        });
    }

    auto serve(asio::ip::tcp::socket socket) -> void
    {
        if (m_links.size() >= m_context->settings.maxLinks) {
            log::Line(log::Severity::Warning, "link-refused").add("reason", "too many links");
            return;
        }
        auto link = std::make_shared<PeerServerLink>(std::move(socket), m_context);
        m_links.emplace(link.get(), link);
        link->start();
    }

    auto didEnd(PeerServerLink *link) -> void
    {
        m_links.erase(link);
        finishIfDrained();
    }

    auto finishIfDrained() -> void
    {
        if (m_isDraining && m_links.empty() && m_didFinish)
            asio::post(m_context->io, std::exchange(m_didFinish, nullptr));
    }

    auto closeAcceptor() -> void
    {
        auto ec = boost::system::error_code();
        m_acceptor.close(ec);
        m_rest.cancel();
    }

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_rest;
    std::string m_address;
    std::uint16_t m_port;
    std::shared_ptr<PeerServerContext> m_context;
    std::unordered_map<PeerServerLink *, std::shared_ptr<PeerServerLink>> m_links;
    std::function<void()> m_didFinish;
    bool m_isDraining = false;
};

PeerServer::PeerServer(asio::io_context &io, std::string address, std::uint16_t port,
                       PeerSettings settings)
    : m_acceptor(std::make_shared<Acceptor>(io, std::move(address), port, std::move(settings)))
{}

PeerServer::~PeerServer()
{
    m_acceptor->abort();
}

auto PeerServer::setCallHandler(CallHandler handler) -> void
{
    m_acceptor->context().callHandler = std::move(handler);
}

auto PeerServer::setRequestHandler(std::string topic, RequestHandler handler) -> void
{
    m_acceptor->context().requestHandlers.insert_or_assign(std::move(topic), std::move(handler));
}

auto PeerServer::start() -> void
{
    m_acceptor->start();
}

auto PeerServer::drain(std::function<void()> didFinish) -> void
{
    m_acceptor->drain(std::move(didFinish));
}

auto PeerServer::port() const -> std::uint16_t
{
    return m_acceptor->port();
}

auto PeerServer::traffic() const -> PeerTraffic
{
    return m_acceptor->context().traffic;
}

} // namespace stairspur::transport
