#include <stairspur/transport/PeerServer.h>

#include <algorithm>
#include <deque>
#include <unordered_map>

#include <boost/asio/post.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

#include "CborWriter.h"
#include "LinkFence.h"
#include "PeerServerLink.h"
#include "TcpListener.h"

namespace stairspur::transport {

/// Ended links that are remembered, for connecting ends that ask what has arrived on them.
static constexpr auto MaxEndedLinks = std::size_t{256};

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
        m_context->requestHandlers.insert_or_assign(
                std::string(FenceTopic),
                [weak = weak_from_this()](NodeId from, std::string nonce) -> Task<std::string> {
                    const auto self = weak.lock();
                    if (!self)
                        throw Error("the node stops", "ask another node");
                    co_return self->fence(from, nonce);
                });
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

    /// What is kept of a link that has ended.
    struct EndedLink
    {
        NodeId farNode;
        std::string nonce;
        CallId lastId = 0;
    };

    /// Closes the link of `from` that is known by `nonce` to further calls. Returns the last id that came over it.
    auto fence(const NodeId &from, const std::string &nonce) -> std::string
    {
        const auto isMeant = [&](const auto &it) {
            return it.second->nonce() == nonce && it.second->farNode() == from;
        };
        auto reply = std::string();
        if (const auto it = std::ranges::find_if(m_links, isMeant); it != m_links.end()) {
            it->second->fence();
            CborWriter(reply).addUnsigned(it->second->lastId());
            return reply;
        }
        const auto ended = std::ranges::find(m_ended, nonce, &EndedLink::nonce);
        if (ended == m_ended.end() || ended->farNode != from)
            throw Error("no link of that nonce is known", "take its calls for in doubt");
        CborWriter(reply).addUnsigned(ended->lastId);
        return reply;
    }

    auto didEnd(PeerServerLink *link) -> void
    {
        m_ended.push_back({link->farNode(), link->nonce(), link->lastId()});
        if (m_ended.size() > MaxEndedLinks)
            m_ended.pop_front();
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
    std::deque<EndedLink> m_ended;
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
