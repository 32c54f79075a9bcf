#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/PeerSettings.h>
#include <stairspur/transport/Task.h>

namespace stairspur::transport {

/// A control request that got no reply. It may have been carried out all the same when `wasSent`.
class PeerError : public Error
{
public:
    PeerError(bool wasSent, const std::string &problem, const std::string &remedy)
        : Error(problem, remedy)
        , m_wasSent(wasSent)
    {}

    [[nodiscard]] auto wasSent() const -> bool { return m_wasSent; }

private:
    bool m_wasSent;
};

/// Links to other nodes, opened upon first use and kept: one websocket a node, which carries many calls at once.
/// Belongs to the thread of its io_context.
class PeerClient
{
public:
    PeerClient(asio::io_context &io, PeerSettings settings);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient(PeerClient &&) = delete;
    auto operator=(const PeerClient &) -> PeerClient & = delete;
    auto operator=(PeerClient &&) -> PeerClient & = delete;

    /// Sends a call to the gate of `node` and waits for its whole answer. Never throws for what goes wrong on the way:
    /// a link that could not be opened gives `not-run` with Reason::LinkLost; one that broke after the call was sent,
    /// or a timeout, gives `unknown`; an answer whose length or hash is wrong gives `unknown` with DamagedAnswer.
    /// A cancellation is passed on to the gate and gives `unknown` with Cancelled.
    auto call(NodeId node, CallRequest request, CancellationPtr cancellation) -> Task<CallAnswer>;

    /// Sends a control request and waits for the reply. Throws PeerError. It is sent again when its link falls silent while
    /// another can be opened, so that handlers must be idempotent.
    auto request(NodeId node, std::string topic, std::string payload, Duration timeout)
            -> Task<std::string>;

    /// Whether calls to a node can be sent: told when its link is lost, and when it is there again or no longer sought.
    using LinkObserver = std::function<void(const NodeId &node, bool isReachable)>;
    auto setLinkObserver(LinkObserver observer) -> void;

    /// Told when a link has fallen silent while another to the same node could be opened: other connections of this host may
    /// be as dead.
    using SilenceObserver = std::function<void()>;
    auto setSilenceObserver(SilenceObserver observer) -> void;

    /// Pings all links at once, so that silent ones are replaced before they are used.
    auto verifyLinks() -> void;

    /// Closes links to nodes that are no longer needed, once their calls have ended.
    auto release(const NodeId &node) -> void;

    [[nodiscard]] auto links() const -> std::uint32_t;
    /// Bytes sent and received, for control requests and for calls.
    [[nodiscard]] auto traffic() const -> PeerTraffic;

private:
    class Links;
    std::shared_ptr<Links> m_links;
};

} // namespace stairspur::transport
