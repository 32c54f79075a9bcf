#pragma once

#include <string>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/keyed/KeyedMessages.h>

namespace stairspur::keyed {

/// Now, on both clocks: the monotonic one for timeouts, the wall clock for the age of keys.
struct Instant
{
    TimePoint steady;
    WallMilliseconds wall = 0;
};

/// Who waits for what becomes of a key.
struct Waiter
{
    NodeId entry;
    std::uint64_t number = 0; ///< The entry's own number of its attempt.

    auto operator<=>(const Waiter &) const = default;
};

/// A message to be sent.
struct Outgoing
{
    Replica to;
    MessageBody body;
};

/// A call that may be dispatched now, once. The runtime reports how it ended with `didEnd`.
struct DispatchOrder
{
    std::string key;
    UpdateId bind;
    /// Any of them may give the request; the fingerprints are the same.
    std::vector<Waiter> waiters;
};

struct Delivery
{
    Waiter waiter;
    Reply reply;
};

/// What a state machine wants done, in this order within each kind.
struct Effects
{
    std::vector<Outgoing> sends;
    std::vector<DispatchOrder> dispatches;
    std::vector<Delivery> replies;
};

} // namespace stairspur::keyed
