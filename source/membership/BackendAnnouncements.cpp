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

static auto keepLast(std::deque<std::string> &instances, const std::string &instance) -> void
{
    /// Far more instances than one host starts while an announcement is on its way.
    static constexpr auto MaxKept = std::size_t{32};
    if (instance.empty())
        return;
    instances.push_back(instance);
    if (instances.size() > MaxKept)
        instances.pop_front();
}

auto BackendAnnouncements::retire(const std::string &instance) -> void
{
    keepLast(m_retired, instance);
}

/// A node that has just started may hear a late announcement of a dead instance after the first one of the living, and take
/// the dead for the newer. Late announcements come at once when a cut ends; who announces over some time is alive.
auto BackendAnnouncements::isBack(const Announcement &announcement, TimePoint now) -> bool
{
    /// Share of the timeout for silence: with three announcements in it, two in a row.
    static constexpr auto ReturnDivisor = 3;
    const auto hasLeft = std::ranges::find(m_left, announcement.instance) != m_left.end();
    if (hasLeft)
        return false;
    const auto isKnown = m_returning && m_returning->instance == announcement.instance
                         && m_returning->since >= m_lastHeard
                         && m_returning->sequence < announcement.sequence;
    if (!isKnown) {
        m_returning = Returning{announcement.instance, announcement.sequence, now};
        return false;
    }
    m_returning->sequence = announcement.sequence;
    return now - m_returning->since >= m_timeout / ReturnDivisor;
}

auto BackendAnnouncements::leave(const std::string &instance, TimePoint now) -> bool
{
    retire(instance);
    keepLast(m_left, instance);
    if (!m_current || m_current->instance != instance || m_current->state == ServingState::Left)
        return false;
    m_lastHeard = now;
    m_current->state = ServingState::Left;
    return true;
}

auto BackendAnnouncements::take(const Announcement &announcement, TimePoint now) -> bool
{
    const auto isRetired = std::ranges::find(m_retired, announcement.instance) != m_retired.end();
    if (isRetired && isBack(announcement, now))
        std::erase(m_retired, announcement.instance);
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
