#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/distribution/DistributionService.h>
#include <stairspur/membership/BackendAnnouncements.h>
#include <stairspur/membership/MembershipService.h>
#include <stairspur/node/NodeAdapter.h>
#include <stairspur/node/NodeSettings.h>
#include <stairspur/store/AnyStore.h>
#include <stairspur/transport/DatagramChannel.h>
#include <stairspur/transport/HttpServer.h>
#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>
#include <stairspur/transport/Timer.h>

#include "AdminApi.h"
#include "AnnouncementLog.h"
#include "AnnouncementRefusals.h"
#include "GrantorService.h"
#include "LeavingService.h"
#include "LivenessHistory.h"
#include "NodeBoard.h"
#include "NodeMetrics.h"
#include "QuarantineArchive.h"
#include "RendezvousService.h"
#include "ReportedVersions.h"

namespace stairspur::node {

/// Functions of the node that the control plane calls, on the control thread.
struct ControlHandlers
{
    std::function<void()> startDrain;
    std::function<void()> didChangeBackend; ///< The backend server on the blackboard has changed.
    std::function<void()>
            didChangeConfiguration; ///< The configuration on the blackboard has changed.
    /// Releases a quarantined request for an operator, so that it may run again.
    std::function<void(const std::string &request)> release;
    /// Restores a quarantine record of the store: a request under which backend servers crashed.
    std::function<void(const std::string &saved)> restoreQuarantine;
    /// Processes a crash report of another node's gate.
    std::function<void(const NodeId &from, const std::string &payload)> didReceiveFromGate;
    /// Processes the response to a token request of the local entry.
    std::function<void(const quota::TokenGrant &grant)> didGrant;
    /// A connection to the store or to a peer no longer responds, although new connections work.
    std::function<void()> didFindSilence;
};

/// Runs the controllers of the announcements, the membership, the configuration in force and the admin port. They read and
/// write the blackboard. Belongs to the control thread.
class ControlPlane
{
public:
    ControlPlane(transport::asio::io_context &io, const NodeSettings &settings,
                 const NodeAdapter &adapter, NodeBoard &board, NodeMetrics &metrics,
                 ControlHandlers handlers, Incarnation start, std::uint64_t seed);
    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane(ControlPlane &&) = delete;
    auto operator=(const ControlPlane &) -> ControlPlane & = delete;
    auto operator=(ControlPlane &&) -> ControlPlane & = delete;

    /// Sets the handlers of control requests, which arrive on the gate's thread.
    auto registerRequests(transport::PeerServer &server) -> void;

    /// Binds the control ports. Throws SettingError when one cannot be bound.
    auto start() -> void;

    /// Sends a crash report of the local gate to the gate of the node `to`.
    auto sendToGate(const NodeId &to, const std::string &payload) -> void;

    /// Sends a token request of the local entry to the grantor of a caller's quota.
    auto requestTokens(const NodeId &grantor, const std::string &payload) -> void
    {
        m_grantor.requestTokens(grantor, payload);
    }

    /// Saves the quarantine record `name` to the store, where it survives a restart of all nodes. Removes it if `saved` is
    /// empty.
    auto saveQuarantine(const std::string &name, const std::string &saved) -> void;

    /// Checks whether the peer links still respond.
    auto verifyLinks() -> void { m_peers.verifyLinks(); }

    /// Publishes to the other nodes that a process instance of the backend server states that it leaves.
    auto didStateLeaving(const membership::BackendIncarnation &incarnation) -> void;

    /// Publishes to the other nodes that this host accepts no new calls.
    auto announceDraining() -> void;

    /// Publishes to the other nodes that this node leaves; `didFinish` runs after the message has been repeated.
    auto leave(std::function<void()> didFinish) -> void;

private:
    auto adminHooks() -> AdminHooks;
    auto controlHooks() -> ControlHooks;
    auto makeListeners(transport::asio::io_context &io) -> void;
    auto checkService(const membership::Announcement &announcement) const -> void;
    auto didAnnounce(const membership::Announcement &announcement) -> void;
    auto didLeave(const membership::BackendIncarnation &incarnation) -> void;
    auto publishChange(const membership::AnnouncementResult &result,
                       const membership::BackendIncarnation &incarnation, std::uint64_t sequence,
                       membership::LeavingSource source) -> void;
    auto publishBackend() -> void;
    auto didChangeView(std::shared_ptr<const membership::MembershipView> view) -> void;
    auto didPublish(config::ConfigurationPtr configuration) -> void;
    auto makeDistribution(transport::asio::io_context &io, std::uint64_t seed) -> void;
    auto scheduleTick() -> void;
    auto logProofChange() -> void;
    auto release(const std::string &request) -> bool;
    [[nodiscard]] auto isReady() const -> bool;
    [[nodiscard]] auto renderStatus() const -> std::string;
    [[nodiscard]] auto renderMetrics() const -> std::string;

    const NodeSettings &m_settings;
    const NodeAdapter &m_adapter;
    NodeBoard &m_board;
    NodeMetrics &m_metrics;
    ControlHandlers m_handlers;
    transport::DatagramChannel m_datagrams;
    transport::PeerClient m_peers;
    std::optional<store::AnyStore> m_store;
    membership::MembershipService m_membership;
    std::optional<RendezvousService> m_rendezvous;
    std::optional<QuarantineArchive> m_quarantineArchive; ///< Empty without a store.
    std::set<std::string> m_servicesOfInterest;
    std::optional<distribution::DistributionService> m_distribution;
    bool m_wasProofFresh = false; ///< The value last logged.
    ReportedVersions m_reportedVersions;
    LivenessHistory m_livenessHistory;
    GrantorService m_grantor;
    membership::BackendAnnouncements m_announcements;
    LeavingService m_leaving;
    AnnouncementRefusals m_refusals;
    AnnouncementLog m_announcementLog;
    AdminApi m_adminApi;
    transport::HttpServer m_adminServer;
    std::vector<std::unique_ptr<transport::HttpServer>> m_listeners; ///< Listeners of the adapter.
    transport::Timer m_timer;
    transport::Timer m_leaveTimer;
};

} // namespace stairspur::node
