#include "AnnouncementLog.h"

#include <numeric>

#include <stairspur/log/Log.h>

namespace stairspur::node {

/// Shortest time between two lines on ignored announcements.
static constexpr auto LineInterval = Duration{1'000'000};

auto AnnouncementLog::didLeave(const membership::BackendIncarnation &incarnation,
                               std::uint64_t sequence, membership::LeavingSource source) -> void
{
    ++m_leavingInstances;
    log::Line(log::Severity::Info, "backend-leaving")
            .add("instance", incarnation.instance)
            .add("started_at_ms", incarnation.startedAtMs)
            .add("sequence", sequence)
            .add("source", source);
}

auto AnnouncementLog::didIgnore(const membership::Announcement &announcement,
                                membership::IgnoreReason reason, TimePoint now) -> void
{
    ++m_ignored.at(static_cast<std::size_t>(reason));
    if (m_loggedAt && now - *m_loggedAt < LineInterval)
        return;
    m_loggedAt = now;
    log::Line(log::Severity::Info, "announcement-ignored")
            .add("instance", announcement.incarnation.instance)
            .add("started_at_ms", announcement.incarnation.startedAtMs)
            .add("state", announcement.state)
            .add("sequence", announcement.sequence)
            .add("reason", reason)
            .add("ignored", std::accumulate(m_ignored.begin(), m_ignored.end(), std::uint64_t{0}));
}

} // namespace stairspur::node
