#pragma once

#include <cstdint>
#include <string>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::transport {

struct PeerSettings
{
    NodeId ownNode;
    /// Shared by all nodes; each link proves that it knows it. Empty: no proof.
    std::string secret;
    /// A large body goes in pieces of this size, so that it delays nobody.
    std::uint32_t frameBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
    std::uint32_t maxLinks = 4096;
    std::uint32_t maxCallsPerLink = 4096;
    Duration connectTimeout{500'000};
    Duration pingInterval{
            1'000'000}; ///< A link that is silent for three of these is taken for broken.
    /// A link on which nothing waits is pinged this seldom; a call that is sent on it watches it by pingInterval again.
    Duration idlePingInterval{20'000'000};
    /// The connecting end closes a link that it has not used for so long; the next use opens it again. Zero: it never does.
    Duration idleLinkTimeout{60'000'000};
};

/// Bytes on the wire since the start.
struct PeerTraffic
{
    std::uint64_t callBytesSent = 0;
    std::uint64_t callBytesReceived = 0;
    std::uint64_t controlBytesSent = 0;
    std::uint64_t controlBytesReceived = 0;
    std::uint64_t droppedAnswers = 0; ///< Answers to calls that nobody waited for any more.
    std::uint64_t damagedFrames = 0;
};

} // namespace stairspur::transport
