#pragma once

#include <deque>
#include <optional>
#include <string>

#include <stairspur/core/Time.h>
#include <stairspur/membership/Announcement.h>

namespace stairspur::membership {

/// The one backend server of this host, as its announcements tell. Silence counts as leaving.
class BackendAnnouncements
{
public:
    /// `timeout`: silence after which the backend server counts as left.
    explicit BackendAnnouncements(Duration timeout)
        : m_timeout(timeout)
    {}

    /// Takes an announcement in; tells whether the own record changes by it (service, slots or state). Throws
    /// AnnouncementError when another backend server without a name is there already; a named instance takes the place of the
    /// one before it. What comes late is passed over.
    auto take(const Announcement &announcement, TimePoint now) -> bool;

    /// The instance has left for good; announcements of it that come late are passed over. Tells whether the own record
    /// changes by it.
    auto leave(const std::string &instance, TimePoint now) -> bool;

    /// Notices silence; tells whether the own record changes by it.
    auto tick(TimePoint now) -> bool;

    /// The node drains: from now on a backend server is shown as draining at best. Tells whether that is a change.
    auto drain() -> bool;

    /// The last announcement with the state that counts; nothing before the first.
    [[nodiscard]] auto current() const -> const std::optional<Announcement> & { return m_current; }

    /// Whether a backend server is there and takes new work.
    [[nodiscard]] auto isServing() const -> bool
    {
        return m_current && m_current->state == ServingState::Serving;
    }

private:
    [[nodiscard]] auto stateThatCounts(ServingState announced) const -> ServingState;
    [[nodiscard]] auto isOutdated(const Announcement &announcement) const -> bool;
    auto retire(const std::string &instance) -> void;
    /// Whether an instance that was replaced goes on announcing while the one in its place is silent.
    auto isBack(const Announcement &announcement, TimePoint now) -> bool;

    /// An instance whose place was taken, and which announces again.
    struct Returning
    {
        std::string instance;
        std::uint64_t sequence = 0;
        TimePoint since;
    };

    Duration m_timeout;
    bool m_isDraining = false;
    TimePoint m_lastHeard;
    std::optional<Announcement> m_current;
    /// Instances that were replaced or have left, the last ones.
    std::deque<std::string> m_retired;
    /// Those of them that have left by their own word.
    std::deque<std::string> m_left;
    std::optional<Returning> m_returning;
};

} // namespace stairspur::membership
