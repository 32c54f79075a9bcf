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
#include <stairspur/store/StoreSettings.h>
#include <stairspur/transport/DatagramChannel.h>
#include <stairspur/transport/HttpServer.h>
#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>
#include <stairspur/transport/Timer.h>

#include "AdminApi.h"
#include "AnnouncementRefusals.h"
#include "GrantorService.h"
#include "LivenessHistory.h"
#include "NodeBoard.h"
#include "NodeMetrics.h"
#include "QuarantineArchive.h"
#include "RendezvousKeeper.h"
#include "VersionsHeard.h"

namespace stairspur::node {

/// What the control plane asks of the node around it.
struct ControlHandlers
{
    std::function<void()> startDrain;
    std::function<void()> didChangeBackend; ///< The blackboard tells of another state of it.
    std::function<void()> didChangeConfiguration;
    /// An operator lets a request run again.
    std::function<void(const std::string &request)> release;
    /// What the store kept of requests under which backend servers ended.
    std::function<void(const std::string &saved)> restoreQuarantine;
    /// A gate of another node tells of requests under which backend servers end.
    std::function<void(const NodeId &from, const std::string &payload)> didHearGate;
    /// The local entry's ask for tokens has been answered.
    std::function<void(const quota::TokenGrant &grant)> didGrant;
    /// A connection to the store or to a peer has fallen silent while new ones work.
    std::function<void()> didFindSilence;
};

/// What peer links of this node are set to, on each of its threads.
auto peerSettings(const NodeSettings &settings) -> transport::PeerSettings;

/// What clients of the platform's store are set to, on each of its threads. The settings must name a store.
auto storeSettings(const NodeSettings &settings) -> store::StoreSettings;

/// The controllers: announcements, membership, configuration in force, the operators' port. They read and write the
/// blackboard. Belongs to the control thread.
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

    /// Sends what the local gate tells another one of requests under which backend servers end.
    auto sendToGate(const NodeId &to, const std::string &payload) -> void;

    /// Sends the local entry's ask for tokens of a caller's quota.
    auto askForTokens(const NodeId &grantor, const std::string &payload) -> void
    {
        m_grantor.ask(grantor, payload);
    }

    /// Keeps what has to outlive all nodes, or, with an empty text, no longer.
    auto saveQuarantine(const std::string &name, const std::string &saved) -> void;

    /// Looks for links that have fallen silent.
    auto verifyLinks() -> void { m_peers.verifyLinks(); }

    /// Tells the others that this host takes no new work.
    auto announceDraining() -> void;

    /// Tells the others that this node is gone; `didFinish` runs once the word has been repeated.
    auto leave(std::function<void()> didFinish) -> void;

private:
    auto adminHooks() -> AdminHooks;
    auto controlHooks() -> ControlHooks;
    auto makeListeners(transport::asio::io_context &io) -> void;
    auto checkService(const membership::Announcement &announcement) const -> void;
    auto didAnnounce(const membership::Announcement &announcement) -> void;
    auto didLeave(const membership::BackendIncarnation &life) -> void;
    auto publishBackend() -> void;
    auto didChangeView(std::shared_ptr<const membership::MembershipView> view) -> void;
    auto didPublish(config::ConfigurationPtr configuration) -> void;
    auto makeDistribution(transport::asio::io_context &io, std::uint64_t seed) -> void;
    auto scheduleTick() -> void;
    auto noteProof() -> void;
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
    std::optional<RendezvousKeeper> m_rendezvous;
    std::optional<QuarantineArchive> m_quarantineArchive; ///< None without a store.
    std::set<std::string> m_servicesOfInterest;
    std::optional<distribution::DistributionService> m_distribution;
    bool m_wasProofFresh = false; ///< As last logged.
    VersionsHeard m_versionsHeard;
    LivenessHistory m_livenessHistory;
    GrantorService m_grantor;
    membership::BackendAnnouncements m_announcements;
    AnnouncementRefusals m_refusals;
    AdminApi m_adminApi;
    transport::HttpServer m_adminServer;
    std::vector<std::unique_ptr<transport::HttpServer>> m_listeners; ///< Those of the adapter.
    transport::Timer m_timer;
    transport::Timer m_leaveTimer;
};

} // namespace stairspur::node
