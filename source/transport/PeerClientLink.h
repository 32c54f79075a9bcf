#pragma once

#include <functional>
#include <memory>
#include <optional>
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
    using DidFallSilent = std::function<void()>;

    PeerClientLink(std::shared_ptr<PeerClientContext> context, NodeId node);

    /// Told once, when the link has closed, unless abort() ended it.
    auto setDidClose(DidClose didClose) -> void { m_didClose = std::move(didClose); }

    /// Told once, when the link is open.
    auto setDidReady(DidReady didReady) -> void { m_didReady = std::move(didReady); }

    /// Told once, when nobody has used the link for idleLinkTimeout.
    auto setDidIdle(DidIdle didIdle) -> void { m_didIdle = std::move(didIdle); }

    /// Told each time a ping has had no answer within its interval.
    auto setDidFallSilent(DidFallSilent didFallSilent) -> void
    {
        m_didFallSilent = std::move(didFallSilent);
    }

    auto start() -> void;
    auto abort() -> void;
    /// Pings the far end at once.
    auto verify() -> void;
    /// Whether a ping is due to have been answered and nothing has come since.
    [[nodiscard]] auto isSilent() const -> bool { return m_link && m_link->isSilent(); }
    /// Closes once nobody waits any more.
    auto release() -> void;
    /// The same for a link that another has taken the place of. Control requests end, so that they are sent again.
    auto retire() -> void;
    /// Ends the calls with ids beyond `lastArrived`: the far end says that it never got them, and never will. Returns their
    /// number.
    auto settle(CallId lastArrived) -> std::size_t;
    [[nodiscard]] auto hasCalls() const -> bool { return !m_pending.empty(); }
    /// What the far end knows the link by, once it is ready.
    [[nodiscard]] auto farNonce() const -> std::string { return m_link->farNonce(); }

    auto call(CallRequest request, CancellationPtr cancellation) -> Task<CallAnswer>;
    /// Returns the reply; nothing when the link was retired before it came. Throws PeerError.
    auto request(std::string topic, std::string payload, Duration timeout)
            -> Task<std::optional<std::string>>;

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
    auto didFallSilent() -> void override;
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
    DidFallSilent m_didFallSilent;
    asio::ip::tcp::socket m_socket;
    Timer m_timer; ///< Ends a connect that takes too long, later looks for idleness.
    TimePoint m_lastUsed;
    std::shared_ptr<PeerLink> m_link;
    std::set<LinkWaiter *> m_waitersForReady;
    std::unordered_map<CallId, LinkWaiter *> m_pending;
    CallId m_lastId = 0;
    std::optional<CallId>
            m_lastArrived; ///< Calls with greater ids never reached the far end, and never will.
    State m_state = State::Connecting;
    bool m_hasFarEndGone = false;
    bool m_isReleased = false;
};

} // namespace stairspur::transport
