#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/distribution/DistributionState.h>

#include "FakeConnections.h"

namespace stairspur::distribution {

/// A node's watch of the store.
struct FakeWatch
{
    bool isOpen = false;
    bool isSilent = false;        ///< Whether its connection is silent until it ends.
    bool isHistoryGone = false;   ///< Whether the next watch is refused; the one after it is not.
    std::uint64_t generation = 0; ///< Number of the watch; events of earlier ones are ignored.
};

/// A node of the cluster: the distribution's state, and what a test records about it.
template <typename Policy>
struct FakeNode
{
    std::unique_ptr<DistributionState<Policy>> state;
    std::string domain;
    bool isAlive = true;
    bool isPaused = false;
    bool mayReachStore = true;
    Duration clockOffset{0}; ///< Offset of its own clock to the cluster's.
    FakeWatch watch;
    FakeConnections connections;
    std::vector<std::function<void()>> pendingEvents; ///< Events that arrived while it was paused.
    std::vector<std::uint64_t> versions;      ///< Versions that came into force since its start.
    std::vector<ConfigurationSource> sources; ///< How it received each of them.
    std::vector<Alarm> alarms;
    TimePoint lastAdoption{};

    /// Passes the store's answer to a read sent at `sentAt` to the state. Version 0 means that the store has no head.
    auto didReadHead(const Head &head, bool isOk, TimePoint sentAt, TimePoint now) -> void
    {
        if (!isOk)
            return state->didFailToReadHead(now);
        const auto isThere = head.version > 0;
        state->didReadHead(isThere ? std::optional(head) : std::nullopt, now);
        if (isThere)
            state->didProveHead(head, sentAt, now);
        if (std::exchange(connections.isStoreSilent, false))
            state->didFindSilence(sentAt);
    }
};

} // namespace stairspur::distribution
