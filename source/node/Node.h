#pragma once

#include <cstdint>
#include <future>
#include <memory>
#include <optional>

#include <stairspur/node/NodeAdapter.h>
#include <stairspur/node/NodeSettings.h>
#include <stairspur/transport/HttpServer.h>
#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>

#include "CallIdSource.h"
#include "ControlPlane.h"
#include "Entry.h"
#include "Gate.h"
#include "IoThread.h"
#include "KeyedGate.h"
#include "NodeBoard.h"
#include "NodeMetrics.h"
#include "PeriodicTask.h"
#include "RunningCalls.h"

namespace stairspur::node {

/// The daemon: its threads and the objects that belong to each of them.
class Node
{
public:
    Node(const NodeSettings &settings, const NodeAdapter &adapter);
    ~Node();
    Node(const Node &) = delete;
    Node(Node &&) = delete;
    auto operator=(const Node &) -> Node & = delete;
    auto operator=(Node &&) -> Node & = delete;

    /// Binds the ports and starts the threads. Throws SettingError when a port cannot be bound.
    auto start() -> void;

    /// Starts the graceful shutdown; `cause` is logged. May be called from any thread, and more than once.
    auto startDrain(std::string cause) -> void;

    /// Waits until the shutdown is complete. Returns whether every running call completed within the drain timeout.
    auto waitUntilStopped() -> bool;

private:
    auto handlers() -> ControlHandlers;
    [[nodiscard]] auto protocol() const -> const CallProtocol *;
    auto didChangeConfiguration() -> void;
    auto didFindSilence() -> void;
    auto setIngressLimits(const config::IngressLimits &limits) -> void;
    auto stopAcceptingCallers() -> void;
    auto stopAcceptingCalls() -> void;
    auto publishEntryState() -> void;
    auto publishGateState() -> void;
    auto handleCall(transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;
    auto runBoundCall(transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;
    auto drainGate() -> void;
    auto drainKeys() -> void;
    auto drainEntry() -> void;
    auto drainPeers() -> void;
    auto leave() -> void;
    auto endRequests() -> void;
    auto sendToGate(const NodeId &to, const std::string &payload) -> void;
    auto requestTokens(const NodeId &grantor, const std::string &payload) -> void;
    auto finishDrainIfDone() -> void;
    auto finishDrain(bool isComplete) -> void;

    NodeSettings m_settings;
    NodeAdapter m_adapter;
    Incarnation m_incarnation; ///< Incarnation of this process.
    NodeBoard m_board;
    NodeMetrics m_metrics;
    RunningCalls m_running;
    SecureCallIds m_callIds; ///< Used by the gate only.
    IoThread m_control{"control"};
    IoThread m_entryThread{"entry"};
    IoThread m_gateThread{"gate"};
    transport::PeerClient m_entryPeers;
    transport::PeerServer m_peerServer;
    Entry m_entry;
    QuarantineService m_quarantine;
    Gate m_gate;
    std::optional<KeyedGate>
            m_keyedGate; ///< Empty without a store, since the store contains the placements.
    transport::HttpServer m_entryServer;
    PeriodicTask m_publishEntry;
    PeriodicTask m_publishGate;
    std::unique_ptr<ControlPlane> m_controlPlane;
    transport::Timer m_drainTimer;
    transport::Timer m_noticeTimer;
    bool m_isDraining = false;
    bool m_arePeersDrained = false;
    bool m_isLeaving = false;
    bool m_hasLeft = false; ///< The leave message to the other nodes has been sent.
    bool m_isStopped = false;
    std::promise<bool> m_stopped;
};

} // namespace stairspur::node
