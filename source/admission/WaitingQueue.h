#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/core/Level.h>

namespace stairspur::admission {

/// The calls that wait for a place: the greatest level first, in the order of arrival within a level.
class WaitingQueue
{
public:
    auto push(const CallOffer &offer) -> void;

    /// Takes the call that is next. The queue is not empty.
    auto popFirst() -> CallOffer;

    /// Takes the call that is least important and came last. The queue is not empty.
    auto popLast() -> CallOffer;

    /// The call that popLast() would take. The queue is not empty.
    [[nodiscard]] auto last() const -> const CallOffer &;

    /// Takes out one call. False when it does not wait here.
    auto remove(CallId id) -> bool;

    /// How many waiting calls would be served before a call of `level` that came now.
    [[nodiscard]] auto countAhead(Level level) const -> std::uint32_t;

    [[nodiscard]] auto size() const -> std::uint32_t;
    [[nodiscard]] auto isEmpty() const -> bool { return m_calls.empty(); }

    /// Takes out all calls for which `shouldRemove(offer, position)` holds, in the order of the queue. The position counts
    /// the calls ahead that stay.
    template <typename Predicate>
    auto removeIf(Predicate shouldRemove) -> std::vector<CallOffer>
    {
        auto removed = std::vector<CallOffer>();
        auto position = std::uint32_t{0};
        for (auto it = m_calls.begin(); it != m_calls.end();) {
            if (!shouldRemove(it->second, position)) {
                ++position;
                ++it;
                continue;
            }
            removed.push_back(it->second);
            m_keys.erase(it->second.id);
            it = m_calls.erase(it);
        }
        return removed;
    }

private:
    struct Key
    {
        Level level;
        std::uint64_t arrival = 0;

        auto operator<(const Key &other) const -> bool
        {
            return level != other.level ? level > other.level : arrival < other.arrival;
        }
    };

    auto take(std::map<Key, CallOffer>::iterator it) -> CallOffer;

    std::map<Key, CallOffer> m_calls;
    std::unordered_map<CallId, Key> m_keys;
    std::uint64_t m_nextArrival = 0;
};

} // namespace stairspur::admission
