#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::node {

struct NodeAdapter;

/// The validated settings of a node, from its flags and environment variables.
struct NodeSettings
{
    std::string hostAddress =
            "127.0.0.1";           ///< IP address at which other nodes and callers reach this node.
    std::string failureDomain;     ///< Required.
    std::string region;            ///< Region of the failure domain; empty: the domain's name.
    std::string rack;              ///< Empty: derived from the first 24 bits of the address.
    std::uint16_t peerPort = 7100; ///< TCP and UDP, between nodes.
    std::uint16_t entryPort = 7101; ///< HTTP, for callers and the host's backend server.
    std::uint16_t adminPort = 7102; ///< HTTP, for operators and announcements.
    std::string adminAddress = "127.0.0.1";
    std::string
            service; ///< Service of this host's backend server, if it is configured before the announcement.
    std::vector<NodeId>
            seeds;          ///< Peers through which the node joins; may be empty if a store is set.
    std::string store;      ///< "http://address:port" of the platform's store; empty: none.
    std::string peerSecret; ///< Shared by all nodes; empty: links are not authenticated.
    std::string tlsCertificate; ///< PEM file for the entry port; empty: plain HTTP.
    std::string tlsKey;

    Duration protocolPeriod{1'000'000}; ///< Period of the membership protocol.
    /// Shortest time between two published views of the members. All upstream pools iterate over each view.
    Duration minViewInterval{1'000'000};
    Duration announcementTimeout{5'000'000};
    Duration drainTimeout{
            30'000'000}; ///< Time in which running calls may complete during shutdown.
    /// Time in which a node that shuts down still accepts new requests, so that its callers see that it is not ready.
    Duration stopNotice{0};
    Duration peerPingInterval{
            1'000'000}; ///< On links with waiting calls; three unanswered pings close a link.
    /// Time within which each host stops serving a caller's key that an applied configuration has revoked, even if the host is
    /// disconnected: a host serves callers only if its configuration was proven to be the newest within this time.
    /// 0: no such guarantee.
    Duration revocationBound{0};
    /// Time within which each node that is not disconnected acts on an applied configuration. A call that may have run is sent
    /// again only if the configuration was proven to be the newest at most this long before the call arrived.
    /// 0: no proof is needed.
    Duration configurationBound{5'000'000};
    Duration storeTimeout{2'000'000};
    /// Longest random delay before a node claims a free rendezvous slot. When a whole failure domain starts at once, the delay
    /// limits the rate of calls to the store, but it also delays the start.
    Duration rendezvousSpread{30'000'000};
    std::uint32_t storeCallsPerSecond = 5; ///< Maximum for this node.
    std::uint32_t subsetSize = 16; ///< Upstreams per service to which this node keeps links.

    std::uint32_t maxConnections = 4096;
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
    Duration requestTimeout{10'000'000}; ///< Time in which a complete request must arrive.

    std::string logLevel = "info";
    std::uint32_t logDecisionSample = 1; ///< One in this many decision lines is written.

    /// Returns the id by which other nodes identify this node.
    [[nodiscard]] auto nodeId() const -> NodeId
    {
        return hostAddress + ":" + std::to_string(peerPort);
    }
};

/// Runs a node until SIGTERM, SIGINT or an operator's drain request has shut it down gracefully. Returns the exit code of
/// the process.
auto runNode(const NodeSettings &settings) -> int;

/// Runs a node, as runNode() does, on the platform that `adapter` describes.
auto runAdaptedNode(const NodeSettings &settings, const NodeAdapter &adapter) -> int;

} // namespace stairspur::node
