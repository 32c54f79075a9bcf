#include "AnnouncementRefusals.h"

#include <stairspur/log/Log.h>

namespace stairspur::node {

/// Shortest time between two log lines. A reader cannot follow more.
static constexpr auto LineInterval = Duration{1'000'000};

auto AnnouncementRefusals::didRefuse(const std::string &instance, const std::string &error,
                                     TimePoint now) -> void
{
    ++m_count;
    if (m_loggedAt && now - *m_loggedAt < LineInterval)
        return;
    m_loggedAt = now;
    ++m_lines;
    log::Line(log::Severity::Warning, "announcement-refused")
            .add("instance", instance)
            .add("error", error)
            .add("refused", m_count);
}

} // namespace stairspur::node
