#pragma once

#include <compare>
#include <cstdint>

#include <stairspur/core/Identifiers.h>

namespace stairspur::keyed {

/// Milliseconds since the Unix epoch, on the clock of whoever says it. Two hosts' values differ by their clock skew.
using WallMilliseconds = std::uint64_t;

/// One life of a node's process. A restarted node keeps its id and has a greater session, and nothing that was agreed
/// with the former session binds or entitles the new one (kin to the client verifier of NFS version 4, paper section
/// 6.2). Unlike the incarnation of membership, a refuted suspicion leaves the session as it is.
struct Replica
{
    NodeId node;
    Incarnation session = 0;

    auto operator<=>(const Replica &) const = default;

    /// Whether this names no node at all.
    [[nodiscard]] auto isNone() const -> bool { return node.empty(); }
};

} // namespace stairspur::keyed
