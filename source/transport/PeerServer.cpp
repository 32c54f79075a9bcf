#include <stairspur/transport/PeerServer.h>

#include <optional>
#include <unordered_map>

#include <boost/asio/post.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

#include "PeerServerLink.h"
#include "TcpListener.h"

namespace stairspur::transport {

class PeerServer::Acceptor : public std::enable_shared_from_this<PeerServer::Acceptor>
{
public:
    Acceptor(asio::io_context &io, std::string address, std::uint16_t port, PeerSettings settings)
        : m_tcp(std::make_shared<TcpListener>(io))
        , m_address(std::move(address))
        , m_port(port)
        , m_context(std::make_shared<PeerServerContext>(io))
    {
        m_context->settings = std::move(settings);
    }

    auto context() -> PeerServerContext & { return *m_context; }
    [[nodiscard]] auto port() const -> std::uint16_t { return m_tcp->port(); }

    auto start() -> void
    {
        m_context->didEnd = [weak = weak_from_this()](PeerServerLink *it) {
            if (const auto self = weak.lock())
                self->didEnd(it);
        };
        m_tcp->listen(m_address, m_port);
        m_tcp->accept([self = shared_from_this()](auto socket) { self->serve(std::move(socket)); });
    }

    auto drain(std::function<void()> didFinish) -> void
    {
        m_didFinish = std::move(didFinish);
        m_isDraining = true;
        m_tcp->close();
        // A link leaves the map while it is told, so that a copy is walked over.
        const auto links = m_links;
        for (const auto &[key, link] : links)
            link->drain();
        finishIfDrained();
    }

    auto abort() -> void
    {
        m_tcp->close();
        m_didFinish = nullptr;
        const auto links = std::exchange(m_links, {});
        for (const auto &[key, link] : links)
            link->abort();
    }

private:
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

    std::shared_ptr<TcpListener> m_tcp;
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
