#include "PartSettings.h"

#include <algorithm>

namespace stairspur::node {

/// Number of quick protocol periods after the start. At the platform's period of half a second they last three seconds, and
/// hosts that start at once discover each other after about one second, instead of up to two.
static constexpr auto QuickPeriods = 30U;

auto peerSettings(const NodeSettings &settings) -> transport::PeerSettings
{
    auto peers = transport::PeerSettings();
    peers.ownNode = settings.nodeId();
    peers.secret = settings.peerSecret;
    peers.maxBodyBytes = settings.maxBodyBytes;
    peers.pingInterval = settings.peerPingInterval;
    return peers;
}

auto storeSettings(const NodeSettings &settings) -> store::StoreSettings
{
    auto store = store::storeSettingsFromUrl(settings.store);
    store.timeout = settings.storeTimeout;
    store.callsPerSecond = settings.storeCallsPerSecond;
    return store;
}

auto datagramSettings(const NodeSettings &settings) -> transport::DatagramSettings
{
    auto datagrams = transport::DatagramSettings();
    datagrams.address = settings.hostAddress;
    datagrams.port = settings.peerPort;
    datagrams.secret = settings.peerSecret;
    datagrams.ownNode = settings.nodeId();
    return datagrams;
}

auto membershipSettings(const NodeSettings &settings, Incarnation start)
        -> membership::MembershipSettings
{
    auto membership = membership::MembershipSettings();
    membership.node = settings.nodeId();
    membership.domain = settings.failureDomain;
    membership.startIncarnation = start;
    membership.seeds = settings.seeds;
    membership.period = settings.protocolPeriod;
    membership.quickPeriods = QuickPeriods;
    membership.probeTimeout = settings.protocolPeriod / 4;
    membership.minViewInterval = settings.minViewInterval;
    return membership;
}

/// The admin port serves the host's backend server, a few operators and metrics collectors. The only large bodies are
/// announcements.
static constexpr auto MaxAdminConnections = std::uint32_t{256};
static constexpr auto MaxAdminBodyBytes = std::uint64_t{64U << 10U};

auto adminServerSettings(const NodeSettings &settings) -> transport::HttpServerSettings
{
    auto server = transport::HttpServerSettings();
    server.address = settings.adminAddress;
    server.port = settings.adminPort;
    server.maxConnections = std::min(settings.maxConnections, MaxAdminConnections);
    server.maxHeaderBytes = settings.maxHeaderBytes;
    server.maxBodyBytes = MaxAdminBodyBytes;
    server.requestTimeout = settings.requestTimeout;
    return server;
}

auto entryServerSettings(const NodeSettings &settings) -> transport::HttpServerSettings
{
    auto server = transport::HttpServerSettings();
    server.address = settings.hostAddress;
    server.port = settings.entryPort;
    server.maxConnections = settings.maxConnections;
    server.maxHeaderBytes = settings.maxHeaderBytes;
    server.maxBodyBytes = settings.maxBodyBytes;
    server.requestTimeout = settings.requestTimeout;
    server.certificateFile = settings.tlsCertificate;
    server.keyFile = settings.tlsKey;
    return server;
}

} // namespace stairspur::node
