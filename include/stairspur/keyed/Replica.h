#pragma once

#include <compare>
#include <cstdint>

#include <stairspur/core/Identifiers.h>

namespace stairspur::keyed {

/// Milliseconds since the Unix epoch on the clock of the host that set the value. The values of two hosts differ by
/// their clock skew.
using WallMilliseconds = std::uint64_t;

/// One process instance of a node. A restarted node keeps its id and has a greater session. Agreements with the former
/// session don't apply to the new one, as with the client verifier of NFS version 4 (paper section 6.2). Unlike the
/// incarnation of membership, the session does not change when a suspicion is refuted.
struct Replica
{
    NodeId node;
    Incarnation session = 0;

    auto operator<=>(const Replica &) const = default;

    /// Returns whether this refers to no node.
    [[nodiscard]] auto isNone() const -> bool { return node.empty(); }
};

} // namespace stairspur::keyed
