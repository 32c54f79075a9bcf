#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/Timer.h>

#include "LinkWaiter.h"
#include "PeerLink.h"

namespace stairspur::transport {

/// What the links of one client share. It lives as long as any of them.
struct PeerClientContext
{
    asio::io_context &io;
    PeerSettings settings;
    PeerTraffic traffic;
};

/// How a link ended.
enum class LinkEnd {
    Graceful,   ///< Either end closed it in order.
    Broken,     ///< It was lost while it was up.
    NeverReady, ///< It could not be opened.
};

/// The connecting end of one link.
class PeerClientLink final
    : public std::enable_shared_from_this<PeerClientLink>
    , private PeerLink::Observer
{
public:
    using DidClose = std::function<void(LinkEnd)>;
    using DidReady = std::function<void()>;
    using DidIdle = std::function<void()>;

    PeerClientLink(std::shared_ptr<PeerClientContext> context, NodeId node);

    /// Told once, when the link has closed, unless abort() ended it.
    auto setDidClose(DidClose didClose) -> void { m_didClose = std::move(didClose); }

    /// Told once, when the link is open.
    auto setDidReady(DidReady didReady) -> void { m_didReady = std::move(didReady); }

    /// Told once, when nobody has used the link for idleLinkTimeout.
    auto setDidIdle(DidIdle didIdle) -> void { m_didIdle = std::move(didIdle); }

    auto start() -> void;
    auto abort() -> void;
    /// Closes once nobody waits any more.
    auto release() -> void;

    auto call(CallRequest request, CancellationPtr cancellation) -> Task<CallAnswer>;
    auto request(std::string topic, std::string payload, Duration timeout) -> Task<std::string>;

private:
    enum class State { Connecting, Ready, Closed };

    /// How waiting for an answer ended.
    enum class Ending { Answered, Cancelled, TimedOut, LinkLost };

    auto didBecomeReady() -> void override;
    auto isExpected(FrameKind kind, CallId id) -> bool override;
    auto didReceive(LinkMessage message) -> void override;
    auto didRefuse(FrameKind kind, CallId id, Reason reason) -> void override;
    auto didCancel(CallId id) -> void override;
    [[nodiscard]] auto isAwaitingAnswer() const -> bool override { return !m_pending.empty(); }
    auto didFlush() -> void override;
    auto didClose(bool isGraceful, const std::string &why) -> void override;

    auto connect() -> Task<void>;
    auto waitUntilReady(LinkWaiter &waiter) -> Task<Ending>;
    auto waitForAnswer(LinkWaiter &waiter) -> Task<Ending>;
    auto endCall(const CallRequest &request, Ending ending, CallId id) -> CallAnswer;
    auto readAnswer(LinkMessage message) -> CallAnswer;
    auto close(bool isGraceful, const std::string &why) -> void;
    auto closeIfReleased() -> void;
    auto scheduleIdleCheck(Duration after) -> void;
    auto checkIdle() -> void;
    [[nodiscard]] auto isUnused() const -> bool
    {
        return m_pending.empty() && m_waitersForReady.empty();
    }

    std::shared_ptr<PeerClientContext> m_context;
    NodeId m_node;
    DidClose m_didClose;
    DidReady m_didReady;
    DidIdle m_didIdle;
    asio::ip::tcp::socket m_socket;
    Timer m_timer; ///< Ends a connect that takes too long, later looks for idleness.
    TimePoint m_lastUsed;
    std::shared_ptr<PeerLink> m_link;
    std::set<LinkWaiter *> m_waitersForReady;
    std::unordered_map<CallId, LinkWaiter *> m_pending;
    CallId m_lastId = 0;
    State m_state = State::Connecting;
    bool m_hasFarEndGone = false;
    bool m_isReleased = false;
};

} // namespace stairspur::transport
