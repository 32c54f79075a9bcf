#pragma once

#include <cstdint>

namespace stairspur::membership {

/// Totals since the start, for metrics.
struct MembershipCounters
{
    std::uint64_t bytesSent = 0; ///< Payload, without the datagram's envelope.
    std::uint64_t bytesReceived = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t rejectedDatagrams = 0; ///< Garbage, truncated or too large.
    /// From a sender that may not state them, or above the bound.
    std::uint64_t rejectedRecords = 0;
    std::uint64_t probes = 0;
    std::uint64_t indirectProbes = 0;
    std::uint64_t failedProbes = 0;
    std::uint64_t suspicions = 0;  ///< That this node raised itself.
    std::uint64_t deaths = 0;      ///< That this node declared itself.
    std::uint64_t refutations = 0; ///< Of suspicions about this node.
    std::uint64_t exchanges = 0;
    std::uint64_t unequalExchanges = 0;
    std::uint64_t relayExchanges = 0;
    std::uint64_t pauses = 0;
};

} // namespace stairspur::membership
