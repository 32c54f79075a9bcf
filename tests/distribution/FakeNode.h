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
    bool isDeaf = false;          ///< Its connection has fallen silent for good.
    bool isHistoryGone = false;   ///< The next one is refused; the one after it is not.
    std::uint64_t generation = 0; ///< What belongs to an earlier one is void.
};

/// A node of the cluster: the distribution's state, and what a test knows of it.
template <typename Policy>
struct FakeNode
{
    std::unique_ptr<DistributionState<Policy>> state;
    std::string domain;
    bool isAlive = true;
    bool isPaused = false;
    bool mayReachStore = true;
    Duration clockOffset{0}; ///< Of its own clock against the cluster's.
    FakeWatch watch;
    FakeConnections connections;
    std::vector<std::function<void()>> waiting; ///< Events that came while it was paused.
    std::vector<std::uint64_t> versions;        ///< All that it took into force since its start.
    std::vector<ConfigurationSource> sources;            ///< How it came by each of them.
    std::vector<Alarm> alarms;
    TimePoint lastAdoption{};

    /// The store's answer to a read that was sent at `sentAt`. Version 0: it has no head.
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
