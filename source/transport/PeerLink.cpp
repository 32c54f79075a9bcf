#include "PeerLink.h"

#include <algorithm>

#include <stairspur/core/Error.h>
#include <stairspur/core/Hash.h>

namespace stairspur::transport {

/// While so many bytes wait for the operating system, no further piece is taken, so that a small message never waits
/// for more than these.
static constexpr auto MaxWaitingBytes = std::size_t{64} << 10U;

/// A body's length is only announced, so its memory is taken in steps.
static constexpr auto MaxReservedBytes = std::uint64_t{1} << 20U;

/// Messages that may wait beyond two for each call that a link may carry. A far end with greater limits than ours sends
/// more than we admit, and a refusal waits for each while bodies are under way; one past all these does not read.
static constexpr auto MessagesPerCall = std::size_t{2};
static constexpr auto SpareMessages = std::size_t{1024};

/// Intervals without a byte after which a link is taken for broken.
static constexpr auto MaxSilentTicks = 3U;

static auto isControl(FrameKind kind) -> bool
{
    return kind == FrameKind::Request || kind == FrameKind::Reply;
}

PeerLink::PeerLink(asio::ip::tcp::socket socket, Role role, const PeerSettings &settings,
                   PeerTraffic &traffic, Observer &observer)
    : m_settings(settings)
    , m_traffic(traffic)
    , m_observer(observer)
    , m_role(role)
    , m_stream()
    , m_timer(socket.get_executor())
    , m_ownNonce(makeNonce())
{
    m_stream = std::make_shared<WebSocketStream>(std::move(socket), role,
                                                 settings.frameBytes + MaxFieldBytes,
                                                 static_cast<WebSocketStream::Observer &>(*this));
}

PeerLink::~PeerLink()
{
    m_stream->abort();
}

auto PeerLink::start() -> void
{
    scheduleTick(m_settings.connectTimeout);
    m_stream->start();
}

auto PeerLink::send(FrameKind kind, CallId id, std::string fields, std::string body) -> void
{
    if (m_isClosing || m_isClosed)
        return;
    const auto self = shared_from_this();
    if (m_outgoing.size() >= MessagesPerCall * m_settings.maxCallsPerLink + SpareMessages) {
        breakOff("the peer does not read what it is sent");
        return;
    }
    m_outgoing.push_back({kind, id, std::move(fields), std::move(body)});
    ensureWatched();
    pump();
}

auto PeerLink::withdraw(FrameKind kind, CallId id) -> bool
{
    const auto it = std::find_if(m_outgoing.begin(), m_outgoing.end(), [&](const auto &outgoing) {
        return outgoing.kind == kind && outgoing.id == id;
    });
    if (it == m_outgoing.end())
        return false;
    const auto hasBegun = it->hasBegun;
    m_outgoing.erase(it);
    return !hasBegun;
}

auto PeerLink::sendCancel(CallId id) -> void
{
    if (m_isReady && !m_isClosing && !m_isClosed)
        sendFrame(writeCancel(id), false);
}

auto PeerLink::forget(CallId id) -> bool
{
    return m_incoming.erase(id) > 0;
}

auto PeerLink::verify() -> void
{
    // A link that was silent already is looked at by its next tick, which must not be put off. What that one finds may have
    // come before the ping, so that it verifies anew.
    m_mustVerify = m_silentTicks > 0;
    if (!m_isReady || m_isClosing || m_isClosed || m_mustVerify)
        return;
    m_isResting = false;
    m_silentTicks = 1;
    m_receivedAtTick = m_stream->bytesReceived();
    m_stream->ping();
    countControl();
    scheduleTick(m_settings.pingInterval);
}

auto PeerLink::close() -> void
{
    if (m_isClosing || m_isClosed)
        return;
    m_isClosing = true;
    m_isResting = false;
    m_outgoing.clear();
    // The tick ends the link when the far end does not.
    scheduleTick(m_settings.connectTimeout);
    m_stream->close();
    countControl();
}

auto PeerLink::abort() -> void
{
    m_isClosed = true;
    m_timer.cancel();
    m_stream->abort();
}

auto PeerLink::didOpen() -> void
{
    sendFrame(writeHello(m_settings.ownNode, m_ownNonce), true);
}

auto PeerLink::didReceive(std::string_view message) -> void
{
    const auto self = shared_from_this();
    countControl();
    try {
        handleFrame(readFrame(message), m_stream->receivedSize(message.size()));
    } catch (const InputError &error) {
        ++m_traffic.damagedFrames;
        breakOff(error.what());
    }
}

auto PeerLink::didFlush() -> void
{
    const auto self = shared_from_this();
    pump();
    if (!m_isClosed && isFlushed())
        m_observer.didFlush();
}

auto PeerLink::didClose(bool isGraceful, const std::string &why) -> void
{
    if (m_isClosed)
        return;
    const auto self = shared_from_this();
    m_isClosed = true;
    m_timer.cancel();
    m_observer.didClose(isGraceful && m_isReady, why);
}

auto PeerLink::handleFrame(const Frame &frame, std::uint64_t wireSize) -> void
{
    if (frame.kind == FrameKind::Hello)
        return handleHello(frame);
    if (frame.kind == FrameKind::Proof)
        return handleProof(frame);
    if (!m_isReady)
        throw InputError("a frame came before the proof of the secret",
                         "check which program connects to the peer port");
    if (frame.kind == FrameKind::Cancel)
        return m_observer.didCancel(frame.id);
    if (frame.kind == FrameKind::Data)
        return handleData(frame, wireSize);
    handleHead(frame, wireSize);
}

auto PeerLink::proofInput(bool isOwn) const -> ProofInput
{
    const auto isClient = (m_role == Role::Client) == isOwn;
    const auto role = isClient ? std::string_view("client") : std::string_view("server");
    if (isOwn)
        return {role, m_settings.ownNode, m_ownNonce, m_farNode, m_farNonce};
    return {role, m_farNode, m_farNonce, m_settings.ownNode, m_ownNonce};
}

auto PeerLink::handleHello(const Frame &frame) -> void
{
    if (frame.version != ProtocolVersion || !m_farNonce.empty() || frame.proof.empty())
        throw InputError("the peer speaks protocol version " + std::to_string(frame.version),
                         "run versions of stairspur side by side that share a protocol version");
    m_farNode = frame.node;
    m_farNonce = frame.proof;
    // The listening end proves itself second, so that its proof also tells the connecting end that it was accepted, and
    // no call is sent to an end that will refuse it.
    if (m_role == Role::Client)
        sendFrame(writeProof(makeProof(m_settings.secret, proofInput(true))), true);
}

auto PeerLink::handleProof(const Frame &frame) -> void
{
    if (m_farNonce.empty() || m_isReady)
        throw InputError("a proof came at the wrong time",
                         "check which program connects to the peer port");
    const auto expected = makeProof(m_settings.secret, proofInput(false));
    if (!m_settings.secret.empty() && !isEqualInConstantTime(expected, frame.proof))
        throw InputError("the peer does not know the secret", "give all nodes the same secret");
    if (m_role == Role::Server)
        sendFrame(writeProof(makeProof(m_settings.secret, proofInput(true))), true);
    m_isReady = true;
    scheduleTick(m_settings.pingInterval);
    m_observer.didBecomeReady();
}

auto PeerLink::handleHead(const Frame &frame, std::uint64_t wireSize) -> void
{
    if (!isControl(frame.kind)) {
        m_traffic.controlBytesReceived -= wireSize;
        m_traffic.callBytesReceived += wireSize;
    }
    if (!m_observer.isExpected(frame.kind, frame.id))
        return;
    ensureWatched();
    if (frame.bodyLength > m_settings.maxBodyBytes) {
        m_observer.didRefuse(frame.kind, frame.id, Reason::TooLarge);
        return;
    }
    auto incoming = Incoming();
    incoming.message.kind = frame.kind;
    incoming.message.id = frame.id;
    incoming.message.fields = frame.fields;
    incoming.length = frame.bodyLength;
    incoming.hash = frame.hash;
    incoming.message.body.reserve(std::min(frame.bodyLength, MaxReservedBytes));
    incoming.message.body.append(frame.piece);
    if (incoming.message.body.size() >= incoming.length) {
        complete(std::move(incoming));
        return;
    }
    if (m_incoming.size() >= m_settings.maxCallsPerLink) {
        m_observer.didRefuse(frame.kind, frame.id, Reason::QueueFull);
        return;
    }
    m_incoming.insert_or_assign(frame.id, std::move(incoming));
}

auto PeerLink::handleData(const Frame &frame, std::uint64_t wireSize) -> void
{
    const auto it = m_incoming.find(frame.id);
    if (it == m_incoming.end() || !isControl(it->second.message.kind)) {
        m_traffic.controlBytesReceived -= wireSize;
        m_traffic.callBytesReceived += wireSize;
    }
    if (it == m_incoming.end())
        return; // What was given up, or refused, while this piece was on its way.
    auto &body = it->second.message.body;
    body.append(frame.piece);
    if (body.size() < it->second.length && !frame.piece.empty())
        return;
    auto incoming = std::move(it->second);
    m_incoming.erase(it);
    complete(std::move(incoming));
}

auto PeerLink::complete(Incoming incoming) -> void
{
    auto &message = incoming.message;
    message.isDamaged = message.body.size() != incoming.length
                        || hashMessage(message.id, message.fields, message.body) != incoming.hash;
    m_observer.didReceive(std::move(message));
}

auto PeerLink::pump() -> void
{
    // Sending may flush at once and come back here.
    if (std::exchange(m_isPumping, true))
        return;
    while (!m_isClosed && !m_outgoing.empty() && m_stream->waitingBytes() < MaxWaitingBytes) {
        auto outgoing = std::move(m_outgoing.front());
        m_outgoing.pop_front();
        sendNextPiece(outgoing);
        if (outgoing.sent < outgoing.body.size())
            m_outgoing.push_back(std::move(outgoing));
    }
    m_isPumping = false;
}

auto PeerLink::sendNextPiece(Outgoing &outgoing) -> void
{
    const auto piece = std::string_view(outgoing.body).substr(outgoing.sent, m_settings.frameBytes);
    outgoing.sent += piece.size();
    if (std::exchange(outgoing.hasBegun, true)) {
        sendFrame(writeData(outgoing.id, piece), isControl(outgoing.kind));
        return;
    }
    const auto hash = hashMessage(outgoing.id, outgoing.fields, outgoing.body);
    sendFrame(writeHead(outgoing.kind, outgoing.id, outgoing.body.size(), hash, outgoing.fields,
                        piece),
              isControl(outgoing.kind));
}

auto PeerLink::sendFrame(std::string_view frame, bool isControl) -> void
{
    const auto before = m_stream->bytesSent();
    m_stream->send(frame);
    const auto n = m_stream->bytesSent() - before;
    countControl();
    if (isControl)
        return;
    m_traffic.controlBytesSent -= n;
    m_traffic.callBytesSent += n;
}

/// Counts every byte as control traffic first; the frames of calls are then moved over to theirs.
auto PeerLink::countControl() -> void
{
    m_traffic.controlBytesSent += m_stream->bytesSent() - m_countedSent;
    m_traffic.controlBytesReceived += m_stream->bytesReceived() - m_countedReceived;
    m_countedSent = m_stream->bytesSent();
    m_countedReceived = m_stream->bytesReceived();
}

auto PeerLink::scheduleTick(Duration after) -> void
{
    m_timer.expires_after(after);
    m_timer.async_wait([weak = weak_from_this()](auto ec) {
        if (const auto self = weak.lock(); self && !ec && !self->m_isClosed)
            self->tick();
    });
}

auto PeerLink::tick() -> void
{
    if (!m_isReady) {
        breakOff("the link was not ready in time");
        return;
    }
    if (m_isClosing) {
        abort();
        m_observer.didClose(false, "the far end did not close in time");
        return;
    }
    countControl();
    const auto isSilent = m_stream->bytesReceived() == m_receivedAtTick;
    m_receivedAtTick = m_stream->bytesReceived();
    // Ticks are counted, not time, so that a process that was paused itself does not blame its peers.
    m_silentTicks = isSilent ? m_silentTicks + 1 : 0;
    if (m_silentTicks >= MaxSilentTicks) {
        breakOff("the peer is silent");
        return;
    }
    if (!isSilent && m_mustVerify)
        return verify();
    if (m_silentTicks == SuspectSilentTicks)
        m_observer.didFallSilent();
    // One end's pings show life to both, so the listening end only pings when it has heard none.
    if (isSilent && (m_role == Role::Client || m_silentTicks > 1))
        m_stream->ping();
    scheduleNextTick();
}

auto PeerLink::scheduleNextTick() -> void
{
    m_isResting = mayRest();
    if (!m_isResting) {
        scheduleTick(m_settings.pingInterval);
        return;
    }
    // The interval after the ping, in which the answer is looked for, is a part of the connecting end's idle interval.
    // The listening end waits it out besides, and so does not ping a link that the other end pings in time.
    const auto watched = m_role == Role::Client ? m_settings.pingInterval : Duration(0);
    scheduleTick(std::max(m_settings.pingInterval, m_settings.idlePingInterval - watched));
}

auto PeerLink::mayRest() const -> bool
{
    // A silent link stays watched until it has answered its ping, so that calls that are given up one after another on a
    // dead link can't put off that it is noticed.
    return m_silentTicks == 0 && m_incoming.empty() && isFlushed()
           && !m_observer.isAwaitingAnswer();
}

auto PeerLink::ensureWatched() -> void
{
    if (!std::exchange(m_isResting, false))
        return;
    m_receivedAtTick = m_stream->bytesReceived();
    scheduleTick(m_settings.pingInterval);
}

auto PeerLink::breakOff(const std::string &why) -> void
{
    if (m_isClosed)
        return;
    abort();
    m_observer.didClose(false, why);
}

} // namespace stairspur::transport
