#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace stairspur {

/// The trace id of a root request (W3C Trace Context, `traceparent`), shared by every call of its graph.
struct RootId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RootId &) const = default;

    /// The 32 lower-case hexadecimal digits of the `traceparent` header.
    [[nodiscard]] auto toString() const -> std::string;

    /// A hash of the id, spread evenly: the same on every host.
    [[nodiscard]] auto hash() const -> std::uint64_t;
};

/// Reads 32 hexadecimal digits. Throws InputError when `text` is anything else, or all zeroes (which W3C forbids).
auto parseRootId(const std::string &text) -> RootId;

/// One attempt at one call, unique in the process that made it and in the link that carries it.
using CallId = std::uint64_t;

/// A node, by the address at which other nodes reach it ("192.0.2.7:7100", both TCP and UDP). A node that restarts
/// keeps its id and has a greater incarnation.
using NodeId = std::string;

/// Grows with each start of a node and with each refutation of a suspicion (SWIM, Das et al., DSN 2002). Starts at the
/// wall clock's milliseconds, so that a restarted node needs to remember nothing.
using Incarnation = std::uint64_t;

} // namespace stairspur
