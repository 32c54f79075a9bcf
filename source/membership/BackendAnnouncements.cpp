#include <stairspur/membership/BackendAnnouncements.h>

#include <algorithm>

namespace stairspur::membership {

auto BackendAnnouncements::stateThatCounts(ServingState announced) const -> ServingState
{
    const auto wouldTakeWork =
            announced == ServingState::Starting || announced == ServingState::Serving;
    return m_isDraining && wouldTakeWork ? ServingState::Draining : announced;
}

/// Late announcements come from an instance whose place was taken, or are older than one that was heard.
auto BackendAnnouncements::isOutdated(const Announcement &announcement) const -> bool
{
    if (announcement.instance.empty())
        return false;
    if (std::ranges::find(m_retired, announcement.instance) != m_retired.end())
        return true;
    return m_current && m_current->instance == announcement.instance
           && announcement.sequence < m_current->sequence;
}

auto BackendAnnouncements::retire(const std::string &instance) -> void
{
    /// Far more instances than one host starts while an announcement is on its way.
    static constexpr auto MaxRetired = std::size_t{32};
    if (instance.empty())
        return;
    m_retired.push_back(instance);
    if (m_retired.size() > MaxRetired)
        m_retired.pop_front();
}

auto BackendAnnouncements::leave(const std::string &instance, TimePoint now) -> bool
{
    retire(instance);
    if (!m_current || m_current->instance != instance || m_current->state == ServingState::Left)
        return false;
    m_lastHeard = now;
    m_current->state = ServingState::Left;
    return true;
}

auto BackendAnnouncements::take(const Announcement &announcement, TimePoint now) -> bool
{
    if (isOutdated(announcement))
        return false;
    const auto isNewInstance = m_current && !announcement.instance.empty()
                               && m_current->instance != announcement.instance;
    if (isNewInstance) {
        retire(m_current->instance);
        m_current.reset();
    }
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
    const auto isChange = isNewInstance || !isSame || m_current->state != next.state
                          || m_current->slots != next.slots;
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
