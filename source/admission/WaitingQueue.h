#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <stairspur/admission/AdmissionController.h>

#include "ServingOrder.h"

namespace stairspur::admission {

/// A call that waits, and where it stands.
struct QueuedCall
{
    CallOffer offer;
    ServingOrder order;
};

/// The calls that wait for a place: the greatest order first, in the order of arrival among equals.
class WaitingQueue
{
public:
    auto push(const QueuedCall &call) -> void;

    /// Takes the call that is next. The queue is not empty.
    auto popFirst() -> CallOffer;

    /// Takes the call that is least important and came last. The queue is not empty.
    auto popLast() -> CallOffer;

    /// The call that popLast() would take. The queue is not empty.
    [[nodiscard]] auto last() const -> const QueuedCall &;

    /// Takes out one call. False when it does not wait here.
    auto remove(CallId id) -> bool;

    /// The greatest order of the calls that saw at least `count` others taken by popFirst() since they came; nothing when
    /// there is none.
    [[nodiscard]] auto greatestOvertaken(std::uint64_t count) const -> std::optional<ServingOrder>;

    [[nodiscard]] auto size() const -> std::uint32_t;
    [[nodiscard]] auto isEmpty() const -> bool { return m_calls.empty(); }

    /// Takes out all calls for which `shouldRemove(call, position)` holds, in the order of the queue. The position counts
    /// the calls ahead that stay.
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
        std::uint64_t takenBefore = 0; ///< Calls that popFirst() had taken when it came.
    };

    auto take(std::map<Key, Waiting>::iterator it) -> CallOffer;

    std::map<Key, Waiting> m_calls;
    std::unordered_map<CallId, Key> m_keys;
    std::uint64_t m_nextArrival = 0;
    std::uint64_t m_taken = 0; ///< By popFirst().
};

} // namespace stairspur::admission
