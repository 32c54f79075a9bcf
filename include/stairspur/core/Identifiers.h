#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace stairspur {

/// Trace id of a root request (W3C Trace Context, `traceparent`), shared by all calls of its call graph.
struct RootId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RootId &) const = default;

    /// Returns the 32 lower-case hexadecimal digits of the `traceparent` header.
    [[nodiscard]] auto toString() const -> std::string;

    /// Returns a uniformly distributed hash of the id, the same on every host.
    [[nodiscard]] auto hash() const -> std::uint64_t;
};

/// Parses 32 hexadecimal digits. Throws InputError when `text` is anything else, or all zeroes, which W3C Trace Context
/// forbids.
auto parseRootId(const std::string &text) -> RootId;

/// Identifies one attempt at one call. It is unique in the process that made it and in the link that carries it.
using CallId = std::uint64_t;

/// Identifies a node by the address at which other nodes reach it ("192.0.2.7:7100", for both TCP and UDP). A node that
/// restarts keeps its id and gets a greater incarnation.
using NodeId = std::string;

/// Incarnation number of a node (SWIM, Das et al., DSN 2002). It increases with each start and with each refutation of
/// a suspicion. It starts at the wall clock's time in milliseconds, so that a node needs no stored state to restart.
using Incarnation = std::uint64_t;

} // namespace stairspur
