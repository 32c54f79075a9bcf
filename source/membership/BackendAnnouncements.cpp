#include <stairspur/membership/BackendAnnouncements.h>

namespace stairspur::membership {

auto BackendAnnouncements::stateThatCounts(ServingState announced) const -> ServingState
{
    const auto wouldTakeWork =
            announced == ServingState::Starting || announced == ServingState::Serving;
    return m_isDraining && wouldTakeWork ? ServingState::Draining : announced;
}

auto BackendAnnouncements::take(const Announcement &announcement, TimePoint now) -> bool
{
    const auto isOccupied = m_current && m_current->state != ServingState::Left;
    const auto isSame = m_current && m_current->service == announcement.service
                        && m_current->port == announcement.port;
    if (isOccupied && !isSame)
        throw AnnouncementError(
                "announcement: this host already has the backend server '" + m_current->service
                        + "' on port " + std::to_string(m_current->port),
                "stop that one or announce it as left first; a host has one backend server");
    auto next = announcement;
    next.state = stateThatCounts(announcement.state);
    const auto isChange =
            !isSame || m_current->state != next.state || m_current->slots != next.slots;
    m_lastHeard = now;
    m_current = std::move(next);
    return isChange;
}

auto BackendAnnouncements::tick(TimePoint now) -> bool
{
    if (!m_current || m_current->state == ServingState::Left || now - m_lastHeard < m_timeout)
        return false;
    m_current->state = ServingState::Left;
    return true;
}

auto BackendAnnouncements::drain() -> bool
{
    m_isDraining = true;
    if (!m_current)
        return false;
    const auto before = m_current->state;
    m_current->state = stateThatCounts(before);
    return m_current->state != before;
}

} // namespace stairspur::membership
