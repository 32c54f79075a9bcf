#pragma once

#include <chrono>
#include <cstdint>
#include <set>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::distribution {

/// The connections of one node that have fallen silent: they are open and carry nothing.
struct FakeConnections
{
    /// Kept connections to the store, besides the watch's.
    static constexpr auto KeptToStore = 2;
    /// Until the kernel gives up one on which a request was sent.
    static constexpr auto RequestGivenUpAfter = std::chrono::milliseconds(1500);
    /// Until a link is given up on which a request waits: three ping intervals.
    static constexpr auto LinkGivenUpAfter = std::chrono::milliseconds(750);

    /// How much longer a read of the store takes: each kept connection is tried in turn.
    auto timeToRead() -> Duration
    {
        const auto time = silentToStore * Duration(RequestGivenUpAfter);
        silentToStore = 0;
        return time;
    }

    std::int64_t silentToStore = 0;
    std::set<NodeId> silentLinks; ///< Peers.
};

} // namespace stairspur::distribution
