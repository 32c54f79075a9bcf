#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include <stairspur/transport/PeerServer.h>

#include "PeerLink.h"

namespace stairspur::transport {

class PeerServerLink;

/// What the links of one server share. It lives as long as any of them.
struct PeerServerContext
{
    explicit PeerServerContext(asio::io_context &owner)
        : io(owner)
    {}

    asio::io_context &io;
    PeerSettings settings;
    PeerTraffic traffic;
    PeerServer::CallHandler callHandler;
    std::map<std::string, PeerServer::RequestHandler, std::less<>> requestHandlers;
    std::function<void(PeerServerLink *)> didEnd;
};

/// The listening end of one link: runs the handlers of what comes over it and sends what they answer.
class PeerServerLink final
    : public std::enable_shared_from_this<PeerServerLink>
    , private PeerLink::Observer
{
public:
    PeerServerLink(asio::ip::tcp::socket socket, std::shared_ptr<PeerServerContext> context);

    auto start() -> void;
    /// Closes once the running calls and requests have been answered; refuses new ones.
    auto drain() -> void;
    auto abort() -> void;

    /// By what the link's other end names it.
    [[nodiscard]] auto nonce() const -> const std::string & { return m_link->ownNonce(); }
    [[nodiscard]] auto farNode() const -> const NodeId & { return m_link->farNode(); }
    /// The greatest id of a call or request of which a byte has come. Ids grow.
    [[nodiscard]] auto lastId() const -> CallId { return m_lastId; }
    /// Takes no further calls and requests. What runs goes on.
    auto fence() -> void { m_isFenced = true; }

private:
    // Sending may end the link, upon which the server lets go of it; each event keeps it until it has been handled.
    auto didBecomeReady() -> void override;
    auto isExpected(FrameKind kind, CallId id) -> bool override;
    auto didReceive(LinkMessage message) -> void override;
    auto didRefuse(FrameKind kind, CallId id, Reason reason) -> void override;
    auto didCancel(CallId id) -> void override;
    [[nodiscard]] auto isAwaitingAnswer() const -> bool override
    {
        return !m_running.empty() || m_runningRequests > 0;
    }
    auto didFallSilent() -> void override {} // The connecting end opens another link.
    auto didFlush() -> void override;
    auto didClose(bool isGraceful, const std::string &why) -> void override;

    auto beginCall(LinkMessage message) -> void;
    auto beginRequest(LinkMessage message) -> void;
    auto runCall(CallId id, CallRequest request, CancellationPtr cancellation) -> Task<void>;
    auto runRequest(CallId id, std::string topic, std::string payload) -> Task<void>;
    auto refuse(CallId id, Reason reason) -> void;
    auto answer(CallId id, CallAnswer answer) -> void;
    auto reply(CallId id, bool hasFailed, std::string body) -> void;
    auto cancelAll() -> void;
    auto closeIfDrained() -> void;

    std::shared_ptr<PeerServerContext> m_context;
    std::shared_ptr<PeerLink> m_link;
    std::unordered_map<CallId, CancellationPtr> m_running;
    std::uint32_t m_runningRequests = 0;
    CallId m_lastId = 0;
    bool m_isFenced = false;
    bool m_isDraining = false;
    bool m_isClosed = false;
};

} // namespace stairspur::transport
