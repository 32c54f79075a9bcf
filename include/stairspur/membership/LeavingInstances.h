#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include <stairspur/membership/Announcement.h>

namespace stairspur::membership {

/// The process instances of one host's backend server that take no new calls any more, by instanceIdOf() and startIdOf(). Ids
/// are added from any source and in any order, and none is ever changed or revoked.
class LeavingInstances
{
public:
    /// Two ids for each of far more process instances than one host starts while an announcement is in transit. Past these the
    /// oldest id is dropped.
    static constexpr auto MaxIds = std::size_t{32};

    /// Adds both ids of a process instance. Returns whether it is new.
    auto add(const BackendIncarnation &incarnation) -> bool
    {
        add(startIdOf(incarnation));
        return add(instanceIdOf(incarnation));
    }

    /// Adds an id other than 0. Returns whether it is new.
    auto add(std::uint64_t id) -> bool
    {
        if (id == 0 || contains(id))
            return false;
        m_ids.push_back(id);
        if (m_ids.size() > MaxIds)
            m_ids.pop_front();
        return true;
    }

    [[nodiscard]] auto contains(std::uint64_t id) const -> bool
    {
        return std::ranges::find(m_ids, id) != m_ids.end();
    }

    [[nodiscard]] auto contains(const BackendIncarnation &incarnation) const -> bool
    {
        return contains(instanceIdOf(incarnation));
    }

    /// Returns whether a later process instance of the same name leaves.
    [[nodiscard]] auto containsLaterThan(const BackendIncarnation &incarnation) const -> bool
    {
        return std::ranges::any_of(m_ids, [&](auto id) { return isLaterStart(id, incarnation); });
    }

    [[nodiscard]] auto isEmpty() const -> bool { return m_ids.empty(); }

    /// Returns the ids from the oldest to the latest.
    [[nodiscard]] auto ids() const -> const std::deque<std::uint64_t> & { return m_ids; }

private:
    std::deque<std::uint64_t> m_ids;
};

} // namespace stairspur::membership
