#pragma once

#include <cstdint>

namespace stairspur::membership {

/// Totals since the start, exported as metrics.
struct MembershipCounters
{
    std::uint64_t bytesSent = 0; ///< Payload without the envelope of the datagram.
    std::uint64_t bytesReceived = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t rejectedDatagrams = 0; ///< Malformed, truncated or too large.
    /// Records from a sender of another domain than theirs.
    std::uint64_t rejectedRecords = 0;
    std::uint64_t probes = 0;
    std::uint64_t indirectProbes = 0;
    std::uint64_t failedProbes = 0;
    std::uint64_t suspicions = 0;  ///< Suspicions raised by this node.
    std::uint64_t deaths = 0;      ///< Deaths declared by this node.
    std::uint64_t refutations = 0; ///< Refuted suspicions about this node.
    std::uint64_t exchanges = 0;
    std::uint64_t unequalExchanges = 0;
    std::uint64_t relayExchanges = 0;
    std::uint64_t pauses = 0;
};

} // namespace stairspur::membership
