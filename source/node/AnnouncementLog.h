#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include <stairspur/core/Time.h>
#include <stairspur/membership/Announcement.h>
#include <stairspur/membership/AnnouncementResult.h>

namespace stairspur::node {

/// Numbers of ignored announcements, by IgnoreReason.
using IgnoredAnnouncements = std::array<std::uint64_t, enumNames<membership::IgnoreReason>.size()>;

/// Counts and logs what the announcements of the host's backend server lead to. Of announcements that changed nothing at
/// most one line a second is logged, since an ended process instance may go on announcing itself; each line contains the
/// total count.
class AnnouncementLog
{
public:
    auto didIgnore(const membership::Announcement &announcement, membership::IgnoreReason reason,
                   TimePoint now) -> void;

    /// Records that a process instance was found to leave. `sequence`: of the announcement; 0 if the source has none.
    auto didLeave(const membership::BackendIncarnation &incarnation, std::uint64_t sequence,
                  membership::LeavingSource source) -> void;

    /// Returns the number of process instances that were found to leave.
    [[nodiscard]] auto leavingInstances() const -> std::uint64_t { return m_leavingInstances; }

    [[nodiscard]] auto ignored() const -> const IgnoredAnnouncements & { return m_ignored; }

private:
    std::uint64_t m_leavingInstances = 0;
    IgnoredAnnouncements m_ignored{};
    std::optional<TimePoint> m_loggedAt;
};

} // namespace stairspur::node
