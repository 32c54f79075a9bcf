#pragma once

#include <stairspur/membership/MembershipSettings.h>
#include <stairspur/node/NodeSettings.h>
#include <stairspur/store/StoreSettings.h>
#include <stairspur/transport/DatagramChannel.h>
#include <stairspur/transport/HttpServer.h>
#include <stairspur/transport/PeerSettings.h>

/// The settings of the node's parts, which follow from those of the node.
namespace stairspur::node {

/// Returns the settings of this node's peer links, which are the same on each of its threads.
auto peerSettings(const NodeSettings &settings) -> transport::PeerSettings;

/// Returns the settings of the clients of the platform's store, which are the same on each thread. `settings` must name a
/// store.
auto storeSettings(const NodeSettings &settings) -> store::StoreSettings;

/// Returns the settings of the datagrams between the control threads.
auto datagramSettings(const NodeSettings &settings) -> transport::DatagramSettings;

/// Returns the settings of the membership of a node that started as `start`.
auto membershipSettings(const NodeSettings &settings, Incarnation start)
        -> membership::MembershipSettings;

/// Returns the settings of the admin port.
auto adminServerSettings(const NodeSettings &settings) -> transport::HttpServerSettings;

/// Returns the settings of the port for callers.
auto entryServerSettings(const NodeSettings &settings) -> transport::HttpServerSettings;

} // namespace stairspur::node
