#include <stairspur/membership/BackendAnnouncements.h>

#include <algorithm>
#include <utility>

namespace stairspur::membership {

/// Far more process instances than one host starts while an announcement is in transit.
static constexpr auto MaxRetired = std::size_t{32};

static auto acceptsWork(ServingState state) -> bool
{
    return state == ServingState::Starting || state == ServingState::Serving;
}

auto BackendAnnouncements::effectiveState() const -> ServingState
{
    if (!acceptsWork(m_announcedState))
        return m_announcedState;
    if (m_isDraining || isLeaving(m_current->incarnation))
        return ServingState::Draining;
    const auto isUncertain =
            m_isContested || (m_awaitsRecords && !m_current->incarnation.instance.empty());
    return isUncertain ? ServingState::Starting : m_announcedState;
}

auto BackendAnnouncements::refreshState() -> bool
{
    if (!m_current)
        return false;
    const auto before = m_current->state;
    m_current->state = effectiveState();
    return m_current->state != before;
}

auto BackendAnnouncements::isCurrent(const BackendIncarnation &incarnation) const -> bool
{
    return m_current && m_current->incarnation == incarnation;
}

auto BackendAnnouncements::isRetired(const BackendIncarnation &incarnation) const -> bool
{
    return std::ranges::find(m_retired, incarnation) != m_retired.end();
}

auto BackendAnnouncements::isLeaving(const BackendIncarnation &incarnation) const -> bool
{
    if (incarnation.instance.empty())
        return m_isUnnamedLeaving;
    return m_leaving.contains(incarnation);
}

auto BackendAnnouncements::recordLeaving(const BackendIncarnation &incarnation) -> bool
{
    if (incarnation.instance.empty())
        return !std::exchange(m_isUnnamedLeaving, true);
    if (isReturnCandidate(incarnation))
        m_isContested = true;
    if (m_current && !isRetired(incarnation)
        && isLaterStart(startIdOf(incarnation), m_current->incarnation))
        endCurrent();
    return m_leaving.add(incarnation);
}

auto BackendAnnouncements::endCurrent() -> void
{
    m_announcedState = ServingState::Left;
    retire(m_current->incarnation);
}

auto BackendAnnouncements::didStateLeaving(const BackendIncarnation &incarnation)
        -> AnnouncementResult
{
    if (incarnation.instance.empty() && !isCurrent(incarnation))
        return {};
    auto result = AnnouncementResult();
    result.isNewlyLeaving = recordLeaving(incarnation);
    result.didChangeRecord = refreshState();
    return result;
}

auto BackendAnnouncements::adoptLeaving(std::span<const std::uint64_t> ids,
                                        std::uint64_t receivedAtMs) -> bool
{
    m_leftByNameAtMs = std::max(m_leftByNameAtMs, receivedAtMs);
    for (const auto id : ids) {
        const auto isNew = m_leaving.add(id);
        if (isNew && m_current && isLaterStart(id, m_current->incarnation))
            endCurrent();
    }
    if (m_current && hasLeftByName(m_current->incarnation))
        recordLeaving(m_current->incarnation);
    return refreshState();
}

auto BackendAnnouncements::didReceiveRecords() -> bool
{
    m_awaitsRecords = false;
    return refreshState();
}

/// A process without a name is recognized as another one by its state alone.
auto BackendAnnouncements::forgetLeavingOfEndedProcess(const Announcement &announcement) -> void
{
    const auto hasLeft = !m_current || m_current->state == ServingState::Left;
    if (hasLeft || announcement.state == ServingState::Starting)
        m_isUnnamedLeaving = false;
}

auto BackendAnnouncements::lastIncarnationOf(const std::string &instance) const
        -> std::optional<BackendIncarnation>
{
    if (m_current && m_current->incarnation.instance == instance)
        return m_current->incarnation;
    const auto hasThisName = [&](const BackendIncarnation &it) { return it.instance == instance; };
    const auto last = std::find_if(m_retired.rbegin(), m_retired.rend(), hasThisName);
    return last == m_retired.rend() ? std::nullopt : std::optional(*last);
}

auto BackendAnnouncements::hasEnded(const BackendIncarnation &incarnation) const -> bool
{
    if (incarnation.instance.empty())
        return false;
    if (isRetired(incarnation))
        return true;
    if (isCurrent(incarnation))
        return false;
    const auto last = lastIncarnationOf(incarnation.instance);
    return m_leaving.containsLaterThan(incarnation)
           || (last && incarnation.startedAtMs < last->startedAtMs);
}

auto BackendAnnouncements::reasonToIgnore(const Announcement &announcement) const
        -> std::optional<IgnoreReason>
{
    if (announcement.incarnation.instance.empty())
        return std::nullopt;
    if (hasEnded(announcement.incarnation))
        return IgnoreReason::Ended;
    if (isCurrent(announcement.incarnation) && announcement.sequence < m_current->sequence)
        return IgnoreReason::Outdated;
    // A server that leaves does not take the place of one that serves.
    const auto wouldReplace =
            m_current && !isCurrent(announcement.incarnation) && acceptsWork(effectiveState());
    if (wouldReplace && isLeaving(announcement.incarnation))
        return IgnoreReason::Leaving;
    return std::nullopt;
}

auto BackendAnnouncements::retire(const BackendIncarnation &incarnation) -> void
{
    if (incarnation.instance.empty())
        return;
    m_retired.push_back(incarnation);
    if (m_retired.size() > MaxRetired)
        m_retired.pop_front();
}

auto BackendAnnouncements::isReturnCandidate(const BackendIncarnation &incarnation) const -> bool
{
    return m_returnCandidate && m_returnCandidate->incarnation == incarnation
           && m_returnCandidate->since >= m_lastSeen;
}

/// A node that has just started may receive a late announcement of an ended process instance after the first one of
/// the running instance, and regard the ended one as newer. A clock that was set back makes a new instance appear
/// earlier than its predecessor. Late announcements arrive together when a network partition ends, or one by one; an
/// instance that announces itself without a pause is running.
auto BackendAnnouncements::isConfirmedReturn(const Announcement &announcement, TimePoint now)
        -> bool
{
    if (isLeaving(announcement.incarnation))
        return false;
    const auto isSameCandidate = isReturnCandidate(announcement.incarnation)
                                 && m_returnCandidate->sequence < announcement.sequence
                                 && now - m_returnCandidate->lastSeen <= maxReturnPause();
    if (!isSameCandidate)
        m_returnCandidate = ReturnCandidate{announcement.incarnation, 0, now, now};
    m_returnCandidate->sequence = announcement.sequence;
    m_returnCandidate->lastSeen = now;
    return isSameCandidate
           && now - m_returnCandidate->since >= minReturnTime(announcement.incarnation);
}

/// A running instance announces itself five times in the timeout.
auto BackendAnnouncements::maxReturnPause() const -> Duration
{
    static constexpr auto ReturnDivisor = 3;
    return m_timeout / ReturnDivisor;
}

/// Requests to an instance reach whichever process runs under its name, also a later one that leaves.
auto BackendAnnouncements::minReturnTime(const BackendIncarnation &incarnation) const -> Duration
{
    return m_leaving.containsLaterThan(incarnation) ? m_timeout : maxReturnPause();
}

/// Returns whether a server without a start time would replace one that sends it. The two are of different
/// implementations, so the former must not end the service of the latter.
auto BackendAnnouncements::lacksStartTime(const Announcement &announcement) const -> bool
{
    return announcement.incarnation.startedAtMs == 0 && m_current->incarnation.startedAtMs > 0
           && m_current->state != ServingState::Left;
}

/// Throws AnnouncementError if the host has another backend server that the announcement must not replace.
auto BackendAnnouncements::ensureAllowed(const Announcement &announcement) const -> void
{
    if (!m_current)
        return;
    const auto isNewInstance =
            !announcement.incarnation.instance.empty() && !isCurrent(announcement.incarnation);
    if (isNewInstance && lacksStartTime(announcement))
        throw AnnouncementError("announcement: '" + announcement.incarnation.instance
                                        + "' sends no start time, but '"
                                        + m_current->incarnation.instance
                                        + "', which serves here, does",
                                "send the start time, as the backend server of this host does");
    const auto isSame =
            m_current->service == announcement.service && m_current->port == announcement.port;
    if (!isNewInstance && !isSame && m_current->state != ServingState::Left)
        throw AnnouncementError(
                "announcement: this host already has the backend server '" + m_current->service
                        + "' on port " + std::to_string(m_current->port),
                "stop that one or announce it as left first; a host has one backend server");
}

auto BackendAnnouncements::leave(const BackendIncarnation &incarnation, TimePoint now,
                                 std::uint64_t receivedAtMs) -> AnnouncementResult
{
    const auto last = lastIncarnationOf(incarnation.instance);
    const auto hasOnlyName = incarnation.startedAtMs == 0;
    if (hasOnlyName && !last)
        m_leftByNameAtMs = std::max(m_leftByNameAtMs, receivedAtMs);
    const auto left = hasOnlyName ? last.value_or(incarnation) : incarnation;
    auto result = AnnouncementResult();
    result.isNewlyLeaving = recordLeaving(left);
    retire(left);
    if (isCurrent(left) && m_announcedState != ServingState::Left) {
        m_lastSeen = now;
        m_announcedState = ServingState::Left;
    }
    result.didChangeRecord = refreshState();
    return result;
}

auto BackendAnnouncements::hasLeftByName(const BackendIncarnation &incarnation) const -> bool
{
    return !incarnation.instance.empty() && incarnation.startedAtMs <= m_leftByNameAtMs
           && m_leaving.contains(instanceIdOf({incarnation.instance, 0}));
}

auto BackendAnnouncements::receive(const Announcement &announcement, TimePoint now)
        -> AnnouncementResult
{
    const auto &incarnation = announcement.incarnation;
    auto result = AnnouncementResult();
    const auto isNamed = !incarnation.instance.empty();
    if (isNamed && (!acceptsWork(announcement.state) || hasLeftByName(incarnation)))
        result.isNewlyLeaving = recordLeaving(incarnation);
    const auto isReturn = hasEnded(incarnation) && isConfirmedReturn(announcement, now);
    if (isReturn)
        std::erase(m_retired, incarnation);
    if (const auto reason = reasonToIgnore(announcement); reason && !isReturn) {
        if (!result.isNewlyLeaving)
            result.ignored = reason;
        result.didChangeRecord = refreshState();
        return result;
    }
    ensureAllowed(announcement);
    if (m_current && isNamed && !isCurrent(incarnation)) {
        retire(m_current->incarnation);
        m_current.reset();
    }
    if (!isNamed) {
        forgetLeavingOfEndedProcess(announcement);
        result.isNewlyLeaving = !acceptsWork(announcement.state) && recordLeaving(incarnation);
    }
    if (acceptsWork(announcement.state) && isLeaving(incarnation))
        result.ignored = IgnoreReason::Leaving;
    const auto before = m_current;
    m_lastSeen = now;
    m_isContested = false;
    m_announcedState = announcement.state;
    m_current = announcement;
    refreshState();
    result.didChangeRecord =
            !before || before->service != announcement.service || before->port != announcement.port
            || before->state != m_current->state || before->slots != announcement.slots;
    return result;
}

auto BackendAnnouncements::tick(TimePoint now) -> bool
{
    if (!m_current || m_current->state == ServingState::Left || now - m_lastSeen < m_timeout)
        return false;
    m_announcedState = ServingState::Left;
    return refreshState();
}

auto BackendAnnouncements::drain() -> bool
{
    m_isDraining = true;
    return refreshState();
}

} // namespace stairspur::membership
