#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <stairspur/transport/PeerClient.h>

#include "PeerLink.h"

namespace stairspur::transport {

/// Somebody who waits for a link to be ready and then for an answer, each at most up to one deadline.
class LinkWaiter
{
public:
    LinkWaiter(asio::io_context &io, Duration atMost)
        : m_timer(io, atMost)
    {}

    /// Waits for wakeUp(). Whether the deadline has passed.
    auto wait() -> Task<bool>;
    auto wakeUp() -> void { m_timer.cancel(); }

    std::optional<LinkMessage> answer;
    bool isCancelled = false;

private:
    asio::steady_timer m_timer;
};

/// The connecting end of one link.
class PeerClientLink final
    : public std::enable_shared_from_this<PeerClientLink>
    , private PeerLink::Observer
{
public:
    using DidClose = std::function<void(bool wasReady)>;

    PeerClientLink(asio::io_context &io, NodeId node, const PeerSettings &settings,
                   PeerTraffic &traffic);

    /// Told once, when the link has closed, unless abort() ended it.
    auto setDidClose(DidClose didClose) -> void { m_didClose = std::move(didClose); }

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
    auto didRefuseBody(FrameKind kind, CallId id) -> void override;
    auto didCancel(CallId id) -> void override;
    auto didFlush() -> void override;
    auto didClose(bool isGraceful, const std::string &why) -> void override;

    auto connect() -> Task<void>;
    auto waitUntilReady(LinkWaiter &waiter) -> Task<Ending>;
    auto waitForAnswer(LinkWaiter &waiter) -> Task<Ending>;
    auto endCall(const CallRequest &request, Ending ending, CallId id) -> CallAnswer;
    auto readAnswer(LinkMessage message) -> CallAnswer;
    auto close(bool isGraceful, const std::string &why) -> void;
    auto closeIfReleased() -> void;

    asio::io_context &m_io;
    NodeId m_node;
    const PeerSettings &m_settings;
    PeerTraffic &m_traffic;
    DidClose m_didClose;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    std::shared_ptr<PeerLink> m_link;
    std::set<LinkWaiter *> m_waitersForReady;
    std::unordered_map<CallId, LinkWaiter *> m_pending;
    CallId m_lastId = 0;
    State m_state = State::Connecting;
    bool m_hasFarEndGone = false;
    bool m_isReleased = false;
};

} // namespace stairspur::transport
