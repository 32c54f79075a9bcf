#include <stairspur/membership/BackendAnnouncements.h>

#include <algorithm>

namespace stairspur::membership {

auto BackendAnnouncements::stateThatCounts(ServingState announced) const -> ServingState
{
    const auto wouldTakeWork =
            announced == ServingState::Starting || announced == ServingState::Serving;
    return m_isDraining && wouldTakeWork ? ServingState::Draining : announced;
}

auto BackendAnnouncements::lastLifeOf(const std::string &instance) const
        -> std::optional<BackendLife>
{
    if (m_current && m_current->life.instance == instance)
        return m_current->life;
    const auto isNamedSo = [&](const BackendLife &it) { return it.instance == instance; };
    const auto last = std::find_if(m_retired.rbegin(), m_retired.rend(), isNamedSo);
    return last == m_retired.rend() ? std::nullopt : std::optional(*last);
}

auto BackendAnnouncements::isPast(const BackendLife &life) const -> bool
{
    if (life.instance.empty())
        return false;
    if (std::ranges::find(m_retired, life) != m_retired.end())
        return true;
    const auto last = lastLifeOf(life.instance);
    return last && life.startedAtMs < last->startedAtMs;
}

/// Late announcements come from a life that is over, or are older than one that was heard.
auto BackendAnnouncements::isOutdated(const Announcement &announcement) const -> bool
{
    if (announcement.life.instance.empty())
        return false;
    const auto isLate = m_current && m_current->life == announcement.life
                        && announcement.sequence < m_current->sequence;
    return isLate || isPast(announcement.life);
}

static auto keepLast(std::deque<BackendLife> &lives, const BackendLife &life) -> void
{
    /// Far more lives than one host sees while an announcement is on its way.
    static constexpr auto MaxKept = std::size_t{32};
    if (life.instance.empty())
        return;
    lives.push_back(life);
    if (lives.size() > MaxKept)
        lives.pop_front();
}

auto BackendAnnouncements::retire(const BackendLife &life) -> void
{
    keepLast(m_retired, life);
}

/// A node that has just started may hear a late announcement of a dead server after the first one of the living, and take
/// the dead for the newer; and a clock that was set back lets a new life seem earlier than the one before. Late
/// announcements come at once when a cut ends; who announces over some time is alive.
auto BackendAnnouncements::isBack(const Announcement &announcement, TimePoint now) -> bool
{
    /// Share of the timeout for silence: with three announcements in it, two in a row.
    static constexpr auto ReturnDivisor = 3;
    const auto hasLeft = std::ranges::find(m_left, announcement.life) != m_left.end();
    if (hasLeft)
        return false;
    const auto isKnown = m_returning && m_returning->life == announcement.life
                         && m_returning->since >= m_lastHeard
                         && m_returning->sequence < announcement.sequence;
    if (!isKnown) {
        m_returning = Returning{announcement.life, announcement.sequence, now};
        return false;
    }
    m_returning->sequence = announcement.sequence;
    return now - m_returning->since >= m_timeout / ReturnDivisor;
}

/// Whoever does not tell its start is not of the same make as the server that does, and must not end its service.
auto BackendAnnouncements::isUnproven(const Announcement &announcement) const -> bool
{
    return announcement.life.startedAtMs == 0 && m_current->life.startedAtMs > 0
           && m_current->state != ServingState::Left;
}

auto BackendAnnouncements::leave(const BackendLife &life, TimePoint now) -> bool
{
    const auto isNamedAlone = life.startedAtMs == 0;
    const auto left = isNamedAlone ? lastLifeOf(life.instance).value_or(life) : life;
    retire(left);
    keepLast(m_left, left);
    if (!m_current || m_current->life != left || m_current->state == ServingState::Left)
        return false;
    m_lastHeard = now;
    m_current->state = ServingState::Left;
    return true;
}

auto BackendAnnouncements::take(const Announcement &announcement, TimePoint now) -> bool
{
    const auto isReturn = isPast(announcement.life) && isBack(announcement, now);
    if (isReturn)
        std::erase(m_retired, announcement.life);
    if (!isReturn && isOutdated(announcement))
        return false;
    const auto isNewLife = m_current && !announcement.life.instance.empty()
                           && m_current->life != announcement.life;
    if (isNewLife && isUnproven(announcement))
        throw AnnouncementError(
                "announcement: '" + announcement.life.instance
                        + "' does not tell when it started, but '" + m_current->life.instance
                        + "', which serves here, does",
                "tell the time of the start, as the backend server of this host does");
    if (isNewLife) {
        retire(m_current->life);
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
    const auto isChange = isNewLife || !isSame || m_current->state != next.state
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
