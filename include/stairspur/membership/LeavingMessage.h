#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/core/Identifiers.h>

namespace stairspur::membership {

/// A datagram between a host and the replicas of its leaving instances; see LeavingReplication.
struct LeavingMessage
{
    bool isReply = false;
    /// The leaving instances of the sender's host. In a reply: those recorded here for the receiver's host.
    std::vector<std::uint64_t> ids;
    /// In a reply: the replicas of the receiver's host in the sender's view.
    std::vector<NodeId> replicas;

    auto operator==(const LeavingMessage &) const -> bool = default;
};

/// Returns `message` encoded as CBOR.
auto writeLeavingMessage(const LeavingMessage &message) -> std::string;

/// Returns the message in `bytes`. Throws InputError for anything else.
auto readLeavingMessage(std::string_view bytes) -> LeavingMessage;

} // namespace stairspur::membership
