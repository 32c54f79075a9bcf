#pragma once

#include <chrono>
#include <set>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/store/HedgeDelay.h>

namespace stairspur::distribution {

/// The silent connections of one node, which are open but carry no data. The fake clients of the store and of peers detect
/// them as the real ones do.
struct FakeConnections
{
    /// Time until a request is sent again on another link, a ping interval of the platform's nodes.
    static constexpr auto LinkReplacedAfter = std::chrono::milliseconds(250);

    /// Returns the additional time of a read of the store until its second copy is sent on a new connection.
    [[nodiscard]] auto timeToRead() const -> Duration
    {
        return isStoreSilent ? store::HedgeDelay().value() : Duration{0};
    }

    bool isStoreSilent = false;   ///< Whether the open connections to the store are silent.
    std::set<NodeId> silentLinks; ///< Peers whose links are silent.
};

} // namespace stairspur::distribution
