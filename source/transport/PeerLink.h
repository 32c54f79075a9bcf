#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/transport/PeerSettings.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

#include "Frames.h"
#include "WebSocketStream.h"

namespace stairspur::transport {

/// One whole message that came over a link.
struct LinkMessage
{
    FrameKind kind = FrameKind::Call;
    CallId id = 0;
    std::string fields;
    std::string body;
    bool isDamaged = false; ///< Its length or hash is not what the sender said.
};

/// One end of a link between two nodes: proves who is who, cuts messages into pieces and puts them together again,
/// and notices when the link is dead. What the messages mean is its observer's business.
class PeerLink final
    : public std::enable_shared_from_this<PeerLink>
    , private WebSocketStream::Observer
{
public:
    class Observer
    {
    public:
        virtual ~Observer() = default;
        /// Both ends have proved that they know the secret.
        virtual auto didBecomeReady() -> void = 0;
        /// Whether a message that begins is wanted; if not, it is dropped.
        virtual auto isExpected(FrameKind kind, CallId id) -> bool = 0;
        virtual auto didReceive(LinkMessage message) -> void = 0;
        /// A message that begins is dropped: its body is too large, or too many others have begun.
        virtual auto didRefuse(FrameKind kind, CallId id, Reason reason) -> void = 0;
        virtual auto didCancel(CallId id) -> void = 0;
        /// Whether a call or a control request waits for its answer.
        [[nodiscard]] virtual auto isAwaitingAnswer() const -> bool = 0;
        /// A ping had no answer within its interval. The link lives on, but whoever can had better use another.
        virtual auto didFallSilent() -> void = 0;
        /// All that was sent is out.
        virtual auto didFlush() -> void = 0;
        /// The last event.
        virtual auto didClose(bool isGraceful, const std::string &why) -> void = 0;
    };

    using Role = WebSocketStream::Role;

    /// What a frame may hold besides a piece of a body: the fields of a call, header fields included.
    static constexpr auto MaxFieldBytes = std::size_t{128} << 10U;

    /// `settings`, `traffic` and `observer` outlive the link, or abort() comes first.
    PeerLink(asio::ip::tcp::socket socket, Role role, const PeerSettings &settings,
             PeerTraffic &traffic, Observer &observer);
    ~PeerLink() override;
    PeerLink(const PeerLink &) = delete;
    PeerLink(PeerLink &&) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;
    auto operator=(PeerLink &&) -> PeerLink & = delete;

    auto start() -> void;

    /// Sends a message, in pieces that take turns with those of other messages.
    auto send(FrameKind kind, CallId id, std::string fields, std::string body) -> void;

    /// Sends no more of a message. Whether nothing of it has been sent.
    auto withdraw(FrameKind kind, CallId id) -> bool;

    auto sendCancel(CallId id) -> void;

    /// Forgets what has come of a message. Whether it had begun.
    auto forget(CallId id) -> bool;

    /// Pings the far end at once, and looks for its answer after an interval, rest or not.
    auto verify() -> void;

    /// Says that this end goes away and closes. Calls that were not answered by then are known never to run.
    auto close() -> void;

    /// Closes at once, without a didClose.
    auto abort() -> void;

    [[nodiscard]] auto isReady() const -> bool { return m_isReady; }
    /// Whether nothing waits to be sent.
    [[nodiscard]] auto isFlushed() const -> bool
    {
        return m_outgoing.empty() && m_stream->waitingBytes() == 0;
    }
    /// Whether nothing has come since a ping that should have been answered by now.
    [[nodiscard]] auto isSilent() const -> bool
    {
        return m_silentTicks >= SuspectSilentTicks && m_stream->bytesReceived() == m_receivedAtTick;
    }
    /// What the far end knows this link by.
    [[nodiscard]] auto farNonce() const -> const std::string & { return m_farNonce; }
    /// What the far end calls farNonce().
    [[nodiscard]] auto ownNonce() const -> const std::string & { return m_ownNonce; }
    [[nodiscard]] auto farNode() const -> const NodeId & { return m_farNode; }
    [[nodiscard]] auto remoteAddress() const -> const std::string &
    {
        return m_stream->remoteAddress();
    }

private:
    /// Intervals without a byte: the first ends with a ping, the second without its answer.
    static constexpr auto SuspectSilentTicks = 2U;

    /// A message on its way out.
    struct Outgoing
    {
        FrameKind kind;
        CallId id;
        std::string fields;
        std::string body;
        std::size_t sent = 0;
        bool hasBegun = false;
    };

    /// A message of which pieces are still to come.
    struct Incoming
    {
        LinkMessage message;
        std::uint64_t length = 0;
        std::uint64_t hash = 0;
    };

    auto didOpen() -> void override;
    auto didReceive(std::string_view message) -> void override;
    auto didFlush() -> void override;
    auto didClose(bool isGraceful, const std::string &why) -> void override;

    auto handleFrame(const Frame &frame, std::uint64_t wireSize) -> void;
    auto handleHello(const Frame &frame) -> void;
    auto handleProof(const Frame &frame) -> void;
    auto handleHead(const Frame &frame, std::uint64_t wireSize) -> void;
    auto handleData(const Frame &frame, std::uint64_t wireSize) -> void;
    auto complete(Incoming incoming) -> void;
    auto pump() -> void;
    auto sendNextPiece(Outgoing &outgoing) -> void;
    auto sendFrame(std::string_view frame, bool isControl) -> void;
    auto countControl() -> void;
    auto tick() -> void;
    auto scheduleTick(Duration after) -> void;
    auto scheduleNextTick() -> void;
    /// Ends a rest: from now on the link is to show life within three ping intervals.
    auto ensureWatched() -> void;
    [[nodiscard]] auto mayRest() const -> bool;
    auto breakOff(const std::string &why) -> void;
    [[nodiscard]] auto proofInput(bool isOwn) const -> ProofInput;

    const PeerSettings &m_settings;
    PeerTraffic &m_traffic;
    Observer &m_observer;
    Role m_role;
    std::shared_ptr<WebSocketStream> m_stream;
    Timer m_timer;
    std::deque<Outgoing> m_outgoing;
    std::unordered_map<CallId, Incoming> m_incoming;
    NodeId m_farNode;
    std::string m_ownNonce;
    std::string m_farNonce;
    std::uint64_t m_countedSent = 0;
    std::uint64_t m_countedReceived = 0;
    std::uint64_t m_receivedAtTick = 0;
    std::uint32_t m_silentTicks = 0;
    bool m_mustVerify = false; ///< At the next tick that finds the link alive.
    bool m_isPumping = false;
    bool m_isResting = false; ///< The next tick is that of a link on which nothing waits.
    bool m_isReady = false;
    bool m_isClosing = false;
    bool m_isClosed = false;
};

} // namespace stairspur::transport
