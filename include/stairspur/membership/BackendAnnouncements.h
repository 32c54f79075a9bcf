#pragma once

#include <deque>
#include <optional>
#include <string>

#include <stairspur/core/Time.h>
#include <stairspur/membership/Announcement.h>

namespace stairspur::membership {

/// The one backend server of this host, as its announcements tell. Silence counts as leaving.
///
/// A server that starts again begins a new life, under a new name or under the same one with a later start. Announcements
/// of a life that is over come late and are passed over, whatever their sequence. Starts are told by the host's clock, which
/// may have been set back between two lives: one that seems earlier than the life that is known, but goes on announcing
/// while that one is silent, is taken for the living one after a third of the timeout.
class BackendAnnouncements
{
public:
    /// `timeout`: silence after which the backend server counts as left.
    explicit BackendAnnouncements(Duration timeout)
        : m_timeout(timeout)
    {}

    /// Takes an announcement in; tells whether the own record changes by it (life, service, slots or state). Throws
    /// AnnouncementError when another backend server without a name is there already; a named one takes the place of the
    /// one before it. What comes late is passed over.
    auto take(const Announcement &announcement, TimePoint now) -> bool;

    /// A life has ended for good; announcements of it that come late are passed over. Without the time of its start it is the
    /// life that is known by that name. Tells whether the own record changes by it.
    auto leave(const BackendLife &life, TimePoint now) -> bool;

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
    /// Whether the life is over, or earlier than one of the same name.
    [[nodiscard]] auto isPast(const BackendLife &life) const -> bool;
    [[nodiscard]] auto isOutdated(const Announcement &announcement) const -> bool;
    [[nodiscard]] auto lastLifeOf(const std::string &instance) const -> std::optional<BackendLife>;
    [[nodiscard]] auto isUnproven(const Announcement &announcement) const -> bool;
    auto retire(const BackendLife &life) -> void;
    /// Whether a life that was taken for past goes on announcing while the one in its place is silent.
    auto isBack(const Announcement &announcement, TimePoint now) -> bool;

    /// A life that was taken for past, and announces again.
    struct Returning
    {
        BackendLife life;
        std::uint64_t sequence = 0;
        TimePoint since;
    };

    Duration m_timeout;
    bool m_isDraining = false;
    TimePoint m_lastHeard;
    std::optional<Announcement> m_current;
    /// Lives that were replaced or have left, the last ones.
    std::deque<BackendLife> m_retired;
    /// Those of them that have left by their own word.
    std::deque<BackendLife> m_left;
    std::optional<Returning> m_returning;
};

} // namespace stairspur::membership
