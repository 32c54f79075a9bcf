#pragma once

#include <cstdint>
#include <optional>

#include <boost/asio/ip/address.hpp>

#include <stairspur/core/Identifiers.h>
#include <stairspur/transport/Task.h>

namespace stairspur::transport {

struct NodeAddress
{
    asio::ip::address address;
    std::uint16_t port = 0;
};

/// The address and port that a node's id consists of; nothing when it is no such id.
auto parseNode(const NodeId &node) -> std::optional<NodeAddress>;

} // namespace stairspur::transport
