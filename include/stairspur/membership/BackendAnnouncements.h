#pragma once

#include <deque>
#include <optional>
#include <span>
#include <string>

#include <stairspur/core/Time.h>
#include <stairspur/membership/Announcement.h>
#include <stairspur/membership/AnnouncementResult.h>
#include <stairspur/membership/LeavingInstances.h>

namespace stairspur::membership {

/// Tracks the one backend server of this host by its announcements. A server that sends none for the timeout counts
/// as left.
///
/// A server that restarts is a new process instance, with a new name or with the same name and a later start time. A
/// name is used by one process at a time, so that any message of the later one proves that the earlier one has ended.
/// Late announcements of an ended process instance are ignored, whatever their sequence number.
///
/// Start times are read from the host's clock, which may be set back between two process instances. An instance that
/// seems to have ended is therefore accepted if it announces itself without a pause for a third of the timeout while
/// the current one sends nothing; for the whole timeout if a later instance of its name leaves.
///
/// A process instance that leaves never serves again. Each message that says so is recorded, whatever its order and
/// whether or not it belongs to the current instance, so that its acknowledgement holds. A server without a name is
/// recognized as a new process by the state starting, or by any announcement after it has left.
class BackendAnnouncements
{
public:
    /// `timeout` is the time without announcements after which the backend server counts as left.
    explicit BackendAnnouncements(Duration timeout)
        : m_timeout(timeout)
    {}

    /// Applies an announcement. Throws AnnouncementError if another backend server without a name is present; a named
    /// server replaces its predecessor. Late announcements are ignored, except that their instance leaves.
    auto receive(const Announcement &announcement, TimePoint now) -> AnnouncementResult;

    /// Records that a process instance has ended; its late announcements are ignored from then on. Without a start
    /// time, `incarnation` refers to the latest process instance of that name; if the name is unknown, to the one that
    /// started before `receivedAtMs`, the Unix milliseconds of the host's clock.
    auto leave(const BackendIncarnation &incarnation, TimePoint now, std::uint64_t receivedAtMs = 0)
            -> AnnouncementResult;

    /// Records that a process instance states in its answers that it leaves.
    auto didStateLeaving(const BackendIncarnation &incarnation) -> AnnouncementResult;

    /// Adds leaving instances that other nodes have recorded for this host. `receivedAtMs` is the time of the host's clock
    /// in Unix milliseconds. Returns whether this changes the own record.
    auto adoptLeaving(std::span<const std::uint64_t> ids, std::uint64_t receivedAtMs) -> bool;

    /// Shows a named backend server that would serve as starting until didReceiveRecords(): this process may have
    /// restarted, and other nodes may have recorded that the instance leaves.
    auto awaitRecords() -> void { m_awaitsRecords = true; }

    /// Ends awaitRecords(). Returns whether this changes the own record.
    auto didReceiveRecords() -> bool;

    /// Marks the backend server as left when its announcements have ceased. Returns whether this changes the own
    /// record.
    auto tick(TimePoint now) -> bool;

    /// Records that the node drains: a backend server that starts or serves is shown as draining from then on.
    /// Returns whether this changes the own record.
    auto drain() -> bool;

    /// Returns the latest announcement with its effective state, or nothing before the first announcement.
    [[nodiscard]] auto current() const -> const std::optional<Announcement> & { return m_current; }

    /// Returns whether a backend server is present and accepts new calls.
    [[nodiscard]] auto isServing() const -> bool
    {
        return m_current && m_current->state == ServingState::Serving;
    }

    /// Returns whether the current process instance leaves by its own account.
    [[nodiscard]] auto isCurrentLeaving() const -> bool
    {
        return m_current && isLeaving(m_current->incarnation);
    }

    [[nodiscard]] auto leavingInstances() const -> const LeavingInstances & { return m_leaving; }

private:
    /// A process instance that counted as ended and announces itself again.
    struct ReturnCandidate
    {
        BackendIncarnation incarnation;
        std::uint64_t sequence = 0;
        TimePoint since;
        TimePoint lastSeen;
    };

    [[nodiscard]] auto effectiveState() const -> ServingState;
    /// Applies the effective state to the own record. Returns whether this changes it.
    auto refreshState() -> bool;
    [[nodiscard]] auto isLeaving(const BackendIncarnation &incarnation) const -> bool;
    auto recordLeaving(const BackendIncarnation &incarnation) -> bool;
    auto forgetLeavingOfEndedProcess(const Announcement &announcement) -> void;
    /// Returns whether the process instance left before its start time was known to this node.
    [[nodiscard]] auto hasLeftByName(const BackendIncarnation &incarnation) const -> bool;
    /// Returns whether the process instance has ended or started before another one of the same name.
    [[nodiscard]] auto hasEnded(const BackendIncarnation &incarnation) const -> bool;
    [[nodiscard]] auto isCurrent(const BackendIncarnation &incarnation) const -> bool;
    [[nodiscard]] auto isRetired(const BackendIncarnation &incarnation) const -> bool;
    /// Records that the current process instance has ended.
    auto endCurrent() -> void;
    [[nodiscard]] auto reasonToIgnore(const Announcement &announcement) const
            -> std::optional<IgnoreReason>;
    [[nodiscard]] auto lastIncarnationOf(const std::string &instance) const
            -> std::optional<BackendIncarnation>;
    [[nodiscard]] auto lacksStartTime(const Announcement &announcement) const -> bool;
    auto ensureAllowed(const Announcement &announcement) const -> void;
    auto retire(const BackendIncarnation &incarnation) -> void;
    /// Returns whether a process instance that counted as ended still announces itself while its successor sends
    /// nothing.
    auto isConfirmedReturn(const Announcement &announcement, TimePoint now) -> bool;
    /// Returns the longest pause between two announcements of an instance that runs.
    [[nodiscard]] auto maxReturnPause() const -> Duration;
    /// Returns for how long an instance that counted as ended must announce itself.
    [[nodiscard]] auto minReturnTime(const BackendIncarnation &incarnation) const -> Duration;
    [[nodiscard]] auto isReturnCandidate(const BackendIncarnation &incarnation) const -> bool;

    Duration m_timeout;
    bool m_isDraining = false;
    bool m_awaitsRecords = false;
    /// Another process instance has announced itself since the current one did, and leaves. It may be the one that runs.
    bool m_isContested = false;
    bool m_isUnnamedLeaving = false; ///< The current process without a name leaves.
    TimePoint m_lastSeen;
    std::optional<Announcement> m_current;
    ServingState m_announcedState = ServingState::Starting; ///< Of the current process instance.
    /// The latest process instances that were replaced or have left.
    std::deque<BackendIncarnation> m_retired;
    /// Latest time at which a leaving was recorded without a start time. It holds for instances that started before.
    std::uint64_t m_leftByNameAtMs = 0;
    LeavingInstances m_leaving;
    std::optional<ReturnCandidate> m_returnCandidate;
};

} // namespace stairspur::membership
