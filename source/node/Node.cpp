#include "Node.h"

#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/keyed/AnswerPayload.h>
#include <stairspur/log/Log.h>

#include "PartSettings.h"

namespace stairspur::node {

namespace asio = transport::asio;

/// Time between two updates of the traffic threads' state for the metrics.
static constexpr auto PublishInterval = Duration{1'000'000};
/// Time after the drain timeout in which the last answers are written.
static constexpr auto MaxAnswerTime = Duration{200'000};

static auto seed() -> std::uint64_t
{
    auto device = std::random_device();
    return (std::uint64_t{device()} << 32U) | device();
}

/// Refuses a keyed call on a node without a store. Placements are stored there, so such a node is never the primary of a key.
static auto refuseKeyedCall() -> transport::Task<transport::CallAnswer>
{
    auto answer = transport::CallAnswer();
    answer.outcome = Outcome::NotRun;
    answer.reason = Reason::WrongPlacement;
    co_return answer;
}

Node::Node(const NodeSettings &settings, const NodeAdapter &adapter)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_incarnation(membership::currentStartIncarnation())
    , m_entryPeers(m_entryThread.io(), peerSettings(settings))
    , m_peerServer(m_gateThread.io(), settings.hostAddress, settings.peerPort,
                   peerSettings(settings))
    , m_entry(
              m_entryThread.io(), m_settings, m_board, m_running, m_metrics, m_entryPeers,
              m_incarnation, seed(),
              [this](const auto &to, const auto &payload) { requestTokens(to, payload); },
              protocol())
    , m_quarantine(m_gateThread.io(), m_board, m_settings.nodeId(), seed(),
                   [this](const auto &to, const auto &payload) { sendToGate(to, payload); })
    , m_gate(m_gateThread.io(), m_board, m_running, m_metrics, m_callIds, m_quarantine, seed(),
             protocol())
    , m_entryServer(m_entryThread.io(), entryServerSettings(settings),
                    [this](auto request, auto cancellation) {
                        return m_entry.handle(std::move(request), std::move(cancellation));
                    })
    , m_publishEntry(m_entryThread.io(), PublishInterval, [this] { publishEntryState(); })
    , m_publishGate(m_gateThread.io(), PublishInterval, [this] { publishGateState(); })
    , m_drainTimer(m_control.io())
    , m_noticeTimer(m_control.io())
{
    m_gate.setLeavingHandler([this](const membership::BackendIncarnation &incarnation) {
        asio::post(m_control.io(),
                   [this, incarnation] { m_controlPlane->didStateLeaving(incarnation); });
    });
    m_entryPeers.setSilenceObserver([this] { didFindSilence(); });
    m_controlPlane = std::make_unique<ControlPlane>(m_control.io(), m_settings, m_adapter, m_board,
                                                    m_metrics, handlers(), m_incarnation, seed());
    // A platform with its own call protocol sends no idempotency keys.
    if (settings.store.empty() || m_adapter.calls)
        return;
    m_keyedGate.emplace(
            m_gateThread.io(), m_settings, m_board,
            keyed::Replica{settings.nodeId(), m_incarnation},
            [this](auto request, auto cancellation) {
                return runBoundCall(std::move(request), std::move(cancellation));
            },
            seed());
    m_keyedGate->setSilenceObserver([this] { didFindSilence(); });
}

Node::~Node()
{
    m_control.stop();
    m_entryThread.stop();
    m_gateThread.stop();
}

auto Node::handlers() -> ControlHandlers
{
    auto handlers = ControlHandlers();
    handlers.startDrain = [this] { startDrain("operator"); };
    handlers.didChangeBackend = [this] {
        asio::post(m_gateThread.io(), [this] { m_gate.refreshFromBoard(); });
    };
    handlers.didReceiveFromGate = [this](const NodeId &from, const std::string &payload) {
        asio::post(m_gateThread.io(),
                   [this, from, payload] { m_quarantine.receive(from, payload); });
    };
    handlers.didGrant = [this](const quota::TokenGrant &grant) {
        asio::post(m_entryThread.io(), [this, grant] { m_entry.didGrant(grant); });
    };
    handlers.release = [this](const std::string &request) {
        asio::post(m_gateThread.io(), [this, request] { m_quarantine.release(request); });
    };
    handlers.restoreQuarantine = [this](const std::string &saved) {
        asio::post(m_gateThread.io(), [this, saved] { m_quarantine.restore(saved); });
    };
    handlers.didFindSilence = [this] { didFindSilence(); };
    handlers.didChangeConfiguration = [this] {
        asio::post(m_entryThread.io(), [this] { didChangeConfiguration(); });
    };
    return handlers;
}

auto Node::protocol() const -> const CallProtocol *
{
    return m_adapter.calls ? &*m_adapter.calls : nullptr;
}

/// Checks the connections of all threads after one has stopped responding, since the cause may affect all of them. May be
/// called on any thread.
auto Node::didFindSilence() -> void
{
    asio::post(m_entryThread.io(), [this] { m_entryPeers.verifyLinks(); });
    asio::post(m_control.io(), [this] { m_controlPlane->verifyLinks(); });
    if (m_keyedGate)
        asio::post(m_gateThread.io(), [this] { m_keyedGate->verifyLinks(); });
}

/// Applies the new configuration to the entry. Runs on the entry's thread.
auto Node::didChangeConfiguration() -> void
{
    m_entry.didChangeConfiguration();
    const auto configuration = *m_board.configuration.read();
    if (configuration && configuration->whole().ingress)
        setIngressLimits(*configuration->whole().ingress);
}

auto Node::setIngressLimits(const config::IngressLimits &limits) -> void
{
    auto server = entryServerSettings(m_settings);
    server.maxHeaderBytes = limits.maxHeaderBytes;
    server.maxBodyBytes = limits.maxBodyBytes;
    server.headerTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout;
    m_entryServer.setLimits(server);
}

auto Node::start() -> void
{
    m_peerServer.setCallHandler(
            [this](const NodeId &, transport::CallRequest request, auto cancellation) {
                return handleCall(std::move(request), std::move(cancellation));
            });
    m_controlPlane->registerRequests(m_peerServer);
    if (m_keyedGate)
        m_keyedGate->start(m_peerServer);
    m_peerServer.start();
    m_entryServer.start();
    m_controlPlane->start();
    m_publishEntry.start();
    m_publishGate.start();
    m_quarantine.setSaveHandler([this](const std::string &name, const std::string &saved) {
        asio::post(m_control.io(),
                   [this, name, saved] { m_controlPlane->saveQuarantine(name, saved); });
    });
    m_quarantine.start();
    m_gateThread.start();
    m_entryThread.start();
    m_control.start();
    log::Line(log::Severity::Info, "node-started")
            .add("domain", m_settings.failureDomain)
            .add("entry_port", m_entryServer.port())
            .add("peer_port", m_peerServer.port());
}

/// Moves a datagram from the gate's thread to the control thread, which owns the datagram channel.
auto Node::sendToGate(const NodeId &to, const std::string &payload) -> void
{
    asio::post(m_control.io(), [this, to, payload] { m_controlPlane->sendToGate(to, payload); });
}

/// Moves a token request from the entry's thread to the control thread.
auto Node::requestTokens(const NodeId &grantor, const std::string &payload) -> void
{
    asio::post(m_control.io(),
               [this, grantor, payload] { m_controlPlane->requestTokens(grantor, payload); });
}

/// Serves a call to this host's backend server, or a keyed call whose key this node may have to bind first. Runs on the
/// gate's thread.
auto Node::handleCall(transport::CallRequest request, transport::CancellationPtr cancellation)
        -> transport::Task<transport::CallAnswer>
{
    if (!request.headers.contains(keyed::KeyedHeader))
        return m_gate.handle(std::move(request), std::move(cancellation));
    if (m_keyedGate)
        return m_keyedGate->handle(std::move(request), std::move(cancellation));
    return refuseKeyedCall();
}

/// Runs a call, whose key is bound to this node, at any upstream of its service. Called on the gate's thread; the call runs
/// on the entry's thread.
auto Node::runBoundCall(transport::CallRequest request, transport::CancellationPtr cancellation)
        -> transport::Task<transport::CallAnswer>
{
    auto &entryIo = m_entryThread.io();
    auto onEntry = std::make_shared<transport::Cancellation>();
    if (cancellation)
        cancellation->onCancel(
                [&entryIo, onEntry] { asio::post(entryIo, [onEntry] { onEntry->cancel(); }); });
    auto answer = co_await asio::co_spawn(
            entryIo, m_entry.executeKeyed(std::move(request), onEntry), asio::use_awaitable);
    if (cancellation)
        cancellation->onCancel(nullptr);
    co_return answer;
}

auto Node::publishEntryState() -> void
{
    m_board.entryState.publish(
            {m_entryServer.connections(), m_entryPeers.links(), m_entryPeers.traffic()});
}

auto Node::publishGateState() -> void
{
    auto state = GateState{m_gate.report(), m_peerServer.traffic(), {}, {}};
    if (m_keyedGate) {
        state.keyedTraffic = m_keyedGate->traffic();
        state.keyedStoreCounters = m_keyedGate->storeCounters();
    }
    m_board.gateState.publish(std::move(state));
}

/// Starts the shutdown. The gate is drained before the entry, since running calls may still make deeper calls through this
/// host's entry.
auto Node::startDrain(std::string cause) -> void
{
    asio::post(m_control.io(), [this, cause = std::move(cause)] {
        if (std::exchange(m_isDraining, true))
            return;
        log::Line(log::Severity::Info, "drain-started").add("cause", cause);
        m_board.stage.publish(NodeStage::Draining);
        const auto end = monotonicNow() + m_settings.drainTimeout;
        asio::post(m_entryThread.io(), [this, end] { m_entry.startShutdown(end); });
        m_drainTimer.expires_after(m_settings.drainTimeout);
        m_drainTimer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec)
                endRequests();
        });
        stopAcceptingCallers();
    });
}

/// Serves requests for the time of the stop notice, each with `Connection: close`, so that callers see that the node is not
/// ready and choose other nodes.
auto Node::stopAcceptingCallers() -> void
{
    if (m_settings.stopNotice <= Duration::zero()) {
        stopAcceptingCalls();
        return;
    }
    asio::post(m_entryThread.io(), [this] { m_entryServer.startClosing(); });
    m_noticeTimer.expires_after(m_settings.stopNotice);
    m_noticeTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            stopAcceptingCalls();
    });
}

auto Node::stopAcceptingCalls() -> void
{
    asio::post(m_entryThread.io(), [this] { m_entry.endStopNotice(); });
    m_controlPlane->announceDraining();
    drainGate();
}

auto Node::drainGate() -> void
{
    asio::post(m_gateThread.io(), [this] { m_gate.drain([this] { drainKeys(); }); });
}

/// Hands the keyed slots over while the entry still runs the calls whose keys are bound here. Runs on the gate's thread.
auto Node::drainKeys() -> void
{
    auto didFinish = [this](bool /*isComplete*/) {
        asio::post(m_control.io(), [this] { drainEntry(); });
    };
    if (m_keyedGate)
        m_keyedGate->handOver(didFinish);
    else
        didFinish(true);
}

auto Node::drainEntry() -> void
{
    leave();
    asio::post(m_entryThread.io(), [this] {
        m_entryServer.drain([this] { asio::post(m_control.io(), [this] { drainPeers(); }); });
    });
}

/// Sends the leave message. It is sent once, by the end of the drain timeout at the latest.
auto Node::leave() -> void
{
    if (std::exchange(m_isLeaving, true))
        return;
    m_board.stage.publish(NodeStage::Stopping);
    m_controlPlane->leave([this] {
        m_hasLeft = true;
        finishDrainIfDone();
    });
}

/// Ends the shutdown after the drain timeout. Each request that still runs at the entry is answered first, since its caller
/// waits; callers of the calls that run at the gate are answered by their own entries.
auto Node::endRequests() -> void
{
    if (m_isStopped)
        return;
    leave();
    m_drainTimer.expires_after(MaxAnswerTime);
    m_drainTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            finishDrain(false);
    });
    asio::post(m_entryThread.io(), [this] {
        m_entryServer.endRequests(
                [this] { asio::post(m_control.io(), [this] { finishDrain(false); }); });
    });
}

auto Node::drainPeers() -> void
{
    asio::post(m_gateThread.io(), [this] {
        m_peerServer.drain([this] {
            asio::post(m_control.io(), [this] {
                m_arePeersDrained = true;
                finishDrainIfDone();
            });
        });
    });
}

/// Finishes when the peer links are drained and the leave message has been repeated, which happen concurrently.
auto Node::finishDrainIfDone() -> void
{
    if (m_arePeersDrained && m_hasLeft)
        finishDrain(true);
}

auto Node::finishDrain(bool isComplete) -> void
{
    if (std::exchange(m_isStopped, true))
        return;
    m_drainTimer.cancel();
    log::Line(isComplete ? log::Severity::Info : log::Severity::Warning, "drain-finished")
            .add("whole", isComplete);
    m_stopped.set_value(isComplete);
}

auto Node::waitUntilStopped() -> bool
{
    const auto isComplete = m_stopped.get_future().get();
    m_control.stop();
    m_entryThread.stop();
    m_gateThread.stop();
    return isComplete;
}

} // namespace stairspur::node
