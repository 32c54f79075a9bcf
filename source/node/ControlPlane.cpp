#include "ControlPlane.h"

#include <algorithm>
#include <set>

#include <stairspur/core/Hash.h>
#include <stairspur/log/Log.h>
#include <stairspur/store/EtcdStore.h>

#include "CallerAdmission.h"
#include "ControlMetrics.h"
#include "PartSettings.h"
#include "QuarantineService.h"
#include "StatusReport.h"

namespace stairspur::node {

namespace asio = transport::asio;
using membership::ServingState;

/// Time between two checks of the announcement timeout and of the configuration proof.
static constexpr auto TickInterval = std::chrono::milliseconds(250);
/// Protocol periods for which a leaving node repeats its leave message. One is enough: receivers forward the message at
/// once, and refusals of the gate carry the same information.
static constexpr auto LeavePeriods = 1;
/// Protocol periods that a process may pause without being taken for dead by other nodes.
static constexpr auto SuspendedPeriods = 2;

ControlPlane::ControlPlane(asio::io_context &io, const NodeSettings &settings,
                           const NodeAdapter &adapter, NodeBoard &board, NodeMetrics &metrics,
                           ControlHandlers handlers, Incarnation start, std::uint64_t seed)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_board(board)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_datagrams(io, datagramSettings(settings))
    , m_peers(io, peerSettings(settings))
    , m_membership(io, m_datagrams, membershipSettings(settings, start), seed)
    , m_grantor(
              board, settings.nodeId(), settings.protocolPeriod * SuspendedPeriods,
              hash64(settings.nodeId(), seed) | 1U,
              [this](const auto &to, const auto &payload) {
                  m_datagrams.send(to, QuotaTopic, payload);
              },
              [this](const auto &grant) { m_handlers.didGrant(grant); })
    , m_announcements(settings.announcementTimeout)
    , m_leaving(
              io, settings.nodeId(), settings.failureDomain, m_announcements,
              [this](const auto &to, const auto &payload) {
                  m_datagrams.send(to, LeavingTopic, payload);
              },
              [this] { publishBackend(); })
    , m_adminApi(adminHooks())
    , m_adminServer(io, adminServerSettings(settings),
                    [this](auto request, auto) -> transport::Task<transport::HttpResponse> {
                        co_return m_adminApi.handle(request);
                    })
    , m_timer(io)
    , m_leaveTimer(io)
{
    if (adapter.makeStore)
        m_store.emplace(adapter.makeStore(io, seed + 1));
    else if (!settings.store.empty())
        m_store.emplace(std::make_unique<store::EtcdStore>(io, storeSettings(settings), seed + 1));
    if (m_store) {
        auto didRead = [this](const std::vector<NodeId> &hints) { m_membership.addHints(hints); };
        m_rendezvous.emplace(io, *m_store, settings.nodeId(), settings.failureDomain,
                             settings.rendezvousSpread, std::move(didRead), seed + 2);
        m_quarantineArchive.emplace(io, *m_store, [this](const std::string &saved) {
            m_handlers.restoreQuarantine(saved);
        });
        m_leaving.setStore(*m_store);
    }
    makeDistribution(io, seed + 3);
    makeListeners(io);
}

ControlPlane::~ControlPlane() = default;

auto ControlPlane::makeDistribution(asio::io_context &io, std::uint64_t seed) -> void
{
    auto parts = distribution::DistributionParts{
            m_peers,
            m_datagrams,
            m_store ? &*m_store : nullptr,
            [this] { return m_membership.view(); },
            [this](config::ConfigurationPtr it) { didPublish(std::move(it)); },
            m_adapter.configuration,
            [this](TimePoint provenAt) { m_board.configurationProof.publish({provenAt}); },
            m_handlers.didFindSilence};
    m_peers.setSilenceObserver(m_handlers.didFindSilence);
    auto settings = distribution::DistributionSettings();
    settings.isProvingFreshness = m_settings.revocationBound > Duration::zero()
                                  || m_settings.configurationBound > Duration::zero();
    m_distribution.emplace(io, m_settings.nodeId(), m_settings.failureDomain, settings,
                           std::move(parts), seed);
    m_membership.setAnnotationCallback([this](const NodeId &from, const std::string &bytes) {
        m_distribution->didReceiveDigest(from, bytes);
        m_reportedVersions.didReceive(from, bytes, monotonicNow());
    });
}

auto ControlPlane::registerRequests(transport::PeerServer &server) -> void
{
    server.setRequestHandler(distribution::ConfigTopic, m_distribution->requestHandler());
}

/// Publishes a configuration that came into force: to the traffic threads at once, to the other nodes with the next probe.
auto ControlPlane::didPublish(config::ConfigurationPtr configuration) -> void
{
    auto services = std::set<std::string>();
    for (const auto &it : configuration->configuration.services)
        services.insert(it.name);
    log::Line(log::Severity::Info, "configuration")
            .add("version", configuration->version)
            .add("hash", configuration->hash)
            .add("services", services.size());
    m_board.configuration.publish(
            std::make_shared<const config::ConfigurationIndex>(std::move(configuration)));
    // Each entry may receive calls for each service and sends calls to other failure domains. The set is set only if it has
    // changed, since that creates a new view of all members.
    if (services != m_servicesOfInterest) {
        m_membership.setServicesOfInterest(services);
        m_servicesOfInterest = std::move(services);
    }
    m_membership.setAnnotation(m_distribution->digest());
    if (m_handlers.didChangeConfiguration)
        m_handlers.didChangeConfiguration();
}

auto ControlPlane::start() -> void
{
    m_datagrams.start();
    m_adminServer.start();
    for (const auto &it : m_listeners)
        it->start();
    m_membership.setViewCallback([this](const auto &view) { didChangeView(view); });
    m_membership.start();
    m_datagrams.setHandler(QuarantineTopic, [this](const auto &from, const auto &payload) {
        m_handlers.didReceiveFromGate(from, payload);
    });
    m_datagrams.setHandler(QuotaTopic, [this](const auto &from, const auto &payload) {
        m_grantor.receive(from, payload);
    });
    m_datagrams.setHandler(LeavingTopic, [this](const auto &from, const auto &payload) {
        m_leaving.receive(from, payload);
    });
    m_distribution->start();
    if (m_rendezvous)
        m_rendezvous->start();
    scheduleTick();
}

auto ControlPlane::adminHooks() -> AdminHooks
{
    return {
            [this](const std::string &body) { didAnnounce(membership::parseAnnouncement(body)); },
            [this] { m_handlers.startDrain(); },
            [this](const std::string &request) { return release(request); },
            [this] { return isReady(); },
            [this] { return renderStatus(); },
            [this] { return renderMetrics(); },
    };
}

auto ControlPlane::controlHooks() -> ControlHooks
{
    return {
            [this](const membership::Announcement &it) { didAnnounce(it); },
            [this](const membership::BackendIncarnation &incarnation) { didLeave(incarnation); },
            [this] { return isReady(); },
            [this](const std::string &instance, const std::string &error) {
                m_refusals.didRefuse(instance, error, monotonicNow());
            },
    };
}

auto ControlPlane::makeListeners(asio::io_context &io) -> void
{
    for (const auto &it : m_adapter.listeners) {
        auto server = adminServerSettings(m_settings);
        server.address = it.address;
        server.port = it.port;
        auto handler = [this, &it](auto request, auto) -> transport::Task<transport::HttpResponse> {
            const auto before = m_announcementLog.leavingInstances();
            auto response = it.handle(request, controlHooks());
            if (m_announcementLog.leavingInstances() > before)
                co_await m_leaving.waitUntilRecorded();
            co_return response;
        };
        m_listeners.push_back(
                std::make_unique<transport::HttpServer>(io, server, std::move(handler)));
    }
}

/// Throws AnnouncementError if the configuration in force does not contain the announced service, so that the current backend
/// server is kept. A backend server that is already registered may continue to announce itself after its service was removed
/// from the configuration, because its leave announcement has to arrive.
auto ControlPlane::checkService(const membership::Announcement &announcement) const -> void
{
    const auto &current = m_announcements.current();
    const auto configuration = *m_board.configuration.read();
    const auto isCurrentBackend = current && current->incarnation == announcement.incarnation
                                  && current->service == announcement.service;
    if (isCurrentBackend || !configuration || configuration->findService(announcement.service))
        return;
    throw membership::AnnouncementError("announcement: no configuration names this service",
                                        "announce a service of the configuration, or apply one "
                                        "that names it first");
}

auto ControlPlane::didAnnounce(const membership::Announcement &announcement) -> void
{
    if (!announcement.incarnation.instance.empty())
        checkService(announcement);
    const auto now = monotonicNow();
    const auto result = m_announcements.receive(announcement, now);
    if (result.ignored)
        m_announcementLog.didIgnore(announcement, *result.ignored, now);
    publishChange(result, announcement.incarnation, announcement.sequence,
                  membership::LeavingSource::Announcement);
}

auto ControlPlane::didLeave(const membership::BackendIncarnation &incarnation) -> void
{
    const auto result = m_announcements.leave(incarnation, monotonicNow(),
                                              membership::currentStartIncarnation());
    publishChange(result, incarnation, 0, membership::LeavingSource::Leave);
}

/// Publishes what a message of the backend server has changed, before the message is acknowledged.
auto ControlPlane::publishChange(const membership::AnnouncementResult &result,
                                 const membership::BackendIncarnation &incarnation,
                                 std::uint64_t sequence, membership::LeavingSource source) -> void
{
    if (result.didChangeRecord)
        publishBackend();
    if (!result.isNewlyLeaving)
        return;
    m_announcementLog.didLeave(incarnation, sequence, source);
    m_leaving.replicate();
}

/// Publishes the latest announcement of the backend server to the gate and the other nodes.
auto ControlPlane::publishBackend() -> void
{
    const auto &current = m_announcements.current();
    if (!current)
        return;
    m_board.backend.publish({current->service, current->port, current->slots, current->state,
                             current->address, current->incarnation,
                             m_announcements.isCurrentLeaving()});
    if (m_handlers.didChangeBackend)
        m_handlers.didChangeBackend();
    m_membership.setSelf(current->service, current->slots, current->state);
    if (m_quarantineArchive)
        m_quarantineArchive->setService(current->service);
    log::Line(log::Severity::Info, "backend")
            .add("service", current->service)
            .add("port", current->port)
            .add("instance", current->incarnation.instance)
            .add("started_at_ms", current->incarnation.startedAtMs)
            .add("slots", current->slots)
            .add("state", current->state);
}

auto ControlPlane::didChangeView(std::shared_ptr<const membership::MembershipView> view) -> void
{
    m_livenessHistory.didChangeView(*view, monotonicNow());
    m_leaving.didChangeView(view);
    m_board.members.publishSnapshot(std::move(view));
}

auto ControlPlane::scheduleTick() -> void
{
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        if (m_announcements.tick(monotonicNow()))
            publishBackend();
        m_leaving.tick();
        m_grantor.tick();
        logProofChange();
        scheduleTick();
    });
}

/// Logs when this host stops serving callers by their keys because its proof has expired, and when it resumes.
auto ControlPlane::logProofChange() -> void
{
    const auto proof = *m_board.configurationProof.read();
    const auto now = monotonicNow();
    const auto isFresh = isProofFresh(proof, m_settings.revocationBound, now);
    if (m_settings.revocationBound <= Duration::zero() || isFresh == m_wasProofFresh)
        return;
    m_wasProofFresh = isFresh;
    log::Line(isFresh ? log::Severity::Info : log::Severity::Warning, "configuration-proof")
            .add("fresh", isFresh)
            .add("age_ms", toMilliseconds(proof.age(now).value_or(Duration{-1'000})))
            .add("version", m_distribution->version());
}

auto ControlPlane::sendToGate(const NodeId &to, const std::string &payload) -> void
{
    m_datagrams.send(to, QuarantineTopic, payload);
}

auto ControlPlane::saveQuarantine(const std::string &name, const std::string &saved) -> void
{
    if (m_quarantineArchive)
        m_quarantineArchive->save(name, saved);
}

auto ControlPlane::release(const std::string &request) -> bool
{
    const auto entries = m_board.quarantine.read();
    const auto isQuarantined = std::any_of(entries->begin(), entries->end(), [&](const auto &it) {
        return it.request.name() == request;
    });
    if (isQuarantined)
        m_handlers.release(request);
    return isQuarantined;
}

auto ControlPlane::didStateLeaving(const membership::BackendIncarnation &incarnation) -> void
{
    publishChange(m_announcements.didStateLeaving(incarnation), incarnation, 0,
                  membership::LeavingSource::Response);
}

auto ControlPlane::announceDraining() -> void
{
    if (m_announcements.drain())
        publishBackend();
}

auto ControlPlane::leave(std::function<void()> didFinish) -> void
{
    m_membership.leave();
    if (m_rendezvous)
        m_rendezvous->leave();
    m_leaveTimer.expires_after(m_settings.protocolPeriod * LeavePeriods);
    m_leaveTimer.async_wait(
            [didFinish = std::move(didFinish)](const boost::system::error_code &) { didFinish(); });
}

auto ControlPlane::isReady() const -> bool
{
    return *m_board.configuration.read() != nullptr && *m_board.stage.read() == NodeStage::Running;
}

auto ControlPlane::renderStatus() const -> std::string
{
    const auto now = monotonicNow();
    return statusReport(m_settings, m_board, m_reportedVersions.recent(now), m_livenessHistory,
                        now);
}

auto ControlPlane::renderMetrics() const -> std::string
{
    auto state = ControlState();
    state.version = m_distribution->version();
    state.proofAge = m_board.configurationProof.read()->age(monotonicNow());
    state.isReady = isReady();
    state.isRelay = m_distribution->isRelay();
    state.members = *m_board.members.read();
    state.membership = m_membership.counters();
    state.distribution = m_distribution->counters();
    if (m_store)
        state.store = m_store->counters();
    state.datagrams = m_datagrams.traffic();
    state.controlTraffic = m_peers.traffic();
    state.controlLinks = m_peers.links();
    state.entry = *m_board.entryState.read();
    state.gate = *m_board.gateState.read();
    state.process = readProcessUsage();
    state.refusedAnnouncements = m_refusals.count();
    state.ignoredAnnouncements = m_announcementLog.ignored();
    state.leavingInstances = m_announcementLog.leavingInstances();
    return m_metrics.render() + renderControlMetrics(state);
}

} // namespace stairspur::node
