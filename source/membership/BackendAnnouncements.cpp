#include <stairspur/membership/BackendAnnouncements.h>

#include <algorithm>

namespace stairspur::membership {

auto BackendAnnouncements::effectiveState(ServingState announced) const -> ServingState
{
    const auto acceptsWork =
            announced == ServingState::Starting || announced == ServingState::Serving;
    return m_isDraining && acceptsWork ? ServingState::Draining : announced;
}

auto BackendAnnouncements::lastLifeOf(const std::string &instance) const
        -> std::optional<BackendLife>
{
    if (m_current && m_current->life.instance == instance)
        return m_current->life;
    const auto hasThisName = [&](const BackendLife &it) { return it.instance == instance; };
    const auto last = std::find_if(m_retired.rbegin(), m_retired.rend(), hasThisName);
    return last == m_retired.rend() ? std::nullopt : std::optional(*last);
}

auto BackendAnnouncements::hasEnded(const BackendLife &life) const -> bool
{
    if (life.instance.empty())
        return false;
    if (std::ranges::find(m_retired, life) != m_retired.end())
        return true;
    const auto last = lastLifeOf(life.instance);
    return last && life.startedAtMs < last->startedAtMs;
}

/// Late announcements belong to a process instance that has ended, or are older than the latest received one.
auto BackendAnnouncements::isOutdated(const Announcement &announcement) const -> bool
{
    if (announcement.life.instance.empty())
        return false;
    const auto isLate = m_current && m_current->life == announcement.life
                        && announcement.sequence < m_current->sequence;
    return isLate || hasEnded(announcement.life);
}

static auto appendBounded(std::deque<BackendLife> &instances, const BackendLife &life) -> void
{
    /// Far more process instances than one host starts while an announcement is in transit.
    static constexpr auto MaxInstances = std::size_t{32};
    if (life.instance.empty())
        return;
    instances.push_back(life);
    if (instances.size() > MaxInstances)
        instances.pop_front();
}

auto BackendAnnouncements::retire(const BackendLife &life) -> void
{
    appendBounded(m_retired, life);
}

/// A node that has just started may receive a late announcement of an ended process instance after the first one of
/// the running instance, and regard the ended one as newer. A clock that was set back makes a new instance appear
/// earlier than its predecessor. Late announcements arrive together when a network partition ends; an instance that
/// announces itself over some time is running.
auto BackendAnnouncements::isConfirmedReturn(const Announcement &announcement, TimePoint now)
        -> bool
{
    /// Fraction of the timeout that counts as silence. With three announcements in it, two in a row are needed.
    static constexpr auto ReturnDivisor = 3;
    const auto hasLeft = std::ranges::find(m_left, announcement.life) != m_left.end();
    if (hasLeft)
        return false;
    const auto isSameCandidate = m_returnCandidate && m_returnCandidate->life == announcement.life
                                 && m_returnCandidate->since >= m_lastSeen
                                 && m_returnCandidate->sequence < announcement.sequence;
    if (!isSameCandidate) {
        m_returnCandidate = ReturnCandidate{announcement.life, announcement.sequence, now};
        return false;
    }
    m_returnCandidate->sequence = announcement.sequence;
    return now - m_returnCandidate->since >= m_timeout / ReturnDivisor;
}

/// A server that sends no start time is of another implementation than one that does, and must not replace it.
auto BackendAnnouncements::lacksStartTime(const Announcement &announcement) const -> bool
{
    return announcement.life.startedAtMs == 0 && m_current->life.startedAtMs > 0
           && m_current->state != ServingState::Left;
}

auto BackendAnnouncements::leave(const BackendLife &life, TimePoint now) -> bool
{
    const auto hasOnlyName = life.startedAtMs == 0;
    const auto left = hasOnlyName ? lastLifeOf(life.instance).value_or(life) : life;
    retire(left);
    appendBounded(m_left, left);
    if (!m_current || m_current->life != left || m_current->state == ServingState::Left)
        return false;
    m_lastSeen = now;
    m_current->state = ServingState::Left;
    return true;
}

auto BackendAnnouncements::take(const Announcement &announcement, TimePoint now) -> bool
{
    const auto isReturn = hasEnded(announcement.life) && isConfirmedReturn(announcement, now);
    if (isReturn)
        std::erase(m_retired, announcement.life);
    if (!isReturn && isOutdated(announcement))
        return false;
    const auto isNewInstance = m_current && !announcement.life.instance.empty()
                               && m_current->life != announcement.life;
    if (isNewInstance && lacksStartTime(announcement))
        throw AnnouncementError("announcement: '" + announcement.life.instance
                                        + "' sends no start time, but '" + m_current->life.instance
                                        + "', which serves here, does",
                                "send the start time, as the backend server of this host does");
    if (isNewInstance) {
        retire(m_current->life);
        m_current.reset();
    }
    const auto hasActiveServer = m_current && m_current->state != ServingState::Left;
    const auto isSame = m_current && m_current->service == announcement.service
                        && m_current->port == announcement.port;
    if (hasActiveServer && !isSame)
        throw AnnouncementError(
                "announcement: this host already has the backend server '" + m_current->service
                        + "' on port " + std::to_string(m_current->port),
                "stop that one or announce it as left first; a host has one backend server");
    auto next = announcement;
    next.state = effectiveState(announcement.state);
    const auto isChange = isNewInstance || !isSame || m_current->state != next.state
                          || m_current->slots != next.slots;
    m_lastSeen = now;
    m_current = std::move(next);
    return isChange;
}

auto BackendAnnouncements::tick(TimePoint now) -> bool
{
    if (!m_current || m_current->state == ServingState::Left || now - m_lastSeen < m_timeout)
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
    m_current->state = effectiveState(before);
    return m_current->state != before;
}

} // namespace stairspur::membership
