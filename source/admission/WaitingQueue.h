#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <stairspur/admission/AdmissionController.h>

#include "ServingOrder.h"

namespace stairspur::admission {

/// A waiting call and its order.
struct QueuedCall
{
    CallOffer offer;
    ServingOrder order;
};

/// Queue of the calls that wait for a slot. The call with the greatest order is first; calls of equal order are in the
/// order of arrival.
class WaitingQueue
{
public:
    /// Adds a call, whose id isn't in the queue.
    auto push(const QueuedCall &call) -> void;

    /// Removes and returns the first call. The queue must not be empty.
    auto popFirst() -> CallOffer;

    /// Removes and returns the call of the lowest order that arrived last. The queue must not be empty.
    auto popLast() -> CallOffer;

    /// Returns the call that popLast() would remove. The queue must not be empty.
    [[nodiscard]] auto last() const -> const QueuedCall &;

    /// Removes a call. Returns whether it was in the queue.
    auto remove(CallId id) -> bool;

    /// Returns the greatest order of the calls during whose wait popFirst() has removed at least `count` others; nothing
    /// when there is no such call.
    [[nodiscard]] auto greatestOvertaken(std::uint64_t count) const -> std::optional<ServingOrder>;

    [[nodiscard]] auto size() const -> std::uint32_t;
    [[nodiscard]] auto isEmpty() const -> bool { return m_calls.empty(); }

    /// Removes and returns all calls for which `shouldRemove(call, position)` returns true, in the order of the queue. The
    /// position is the number of calls ahead that remain.
    template <typename Predicate>
    auto removeIf(Predicate shouldRemove) -> std::vector<CallOffer>
    {
        auto removed = std::vector<CallOffer>();
        auto position = std::uint32_t{0};
        for (auto it = m_calls.begin(); it != m_calls.end();) {
            if (!shouldRemove(it->second.call, position)) {
                ++position;
                ++it;
                continue;
            }
            removed.push_back(it->second.call.offer);
            m_keys.erase(it->second.call.offer.id);
            it = m_calls.erase(it);
        }
        return removed;
    }

private:
    struct Key
    {
        ServingOrder order;
        std::uint64_t arrival = 0;

        auto operator<(const Key &other) const -> bool
        {
            return order != other.order ? order > other.order : arrival < other.arrival;
        }
    };

    struct Waiting
    {
        QueuedCall call;
        std::uint64_t poppedBefore =
                0; ///< Calls that popFirst() had removed when this call arrived.
    };

    auto extract(std::map<Key, Waiting>::iterator it) -> CallOffer;

    std::map<Key, Waiting> m_calls;
    std::unordered_map<CallId, Key> m_keys;
    std::uint64_t m_nextArrival = 0;
    std::uint64_t m_poppedCount = 0; ///< Calls that popFirst() has removed.
};

} // namespace stairspur::admission
