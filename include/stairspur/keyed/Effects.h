#pragma once

#include <string>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/keyed/KeyedMessages.h>

namespace stairspur::keyed {

/// The current time on two clocks: the monotonic clock for timeouts, the wall clock for the age of keys.
struct Instant
{
    TimePoint steady;
    WallMilliseconds wall = 0;
};

/// An attempt that waits for the outcome of a key.
struct Waiter
{
    NodeId entry;
    std::uint64_t number = 0; ///< Number that the entry gave the attempt.

    auto operator<=>(const Waiter &) const = default;
};

/// A message to send.
struct OutgoingMessage
{
    Replica to;
    MessageBody body;
};

/// A call to dispatch now, at most once. The runtime reports its result with `didEnd`.
struct DispatchOrder
{
    std::string key;
    UpdateId bind;
    /// Attempts that wait for this call. Each can supply the request, since their fingerprints are equal.
    std::vector<Waiter> waiters;
};

/// A reply to deliver to one waiter.
struct Delivery
{
    Waiter waiter;
    Reply reply;
};

/// Actions that a state machine requests. Those of one kind are carried out in the order of their list.
struct Effects
{
    std::vector<OutgoingMessage> sends;
    std::vector<DispatchOrder> dispatches;
    std::vector<Delivery> replies;
};

} // namespace stairspur::keyed
