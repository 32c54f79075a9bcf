#pragma once

namespace stairspur::keyed {

/// The guards that make keyed calls safe. Production code runs with these; a test derives a type that switches one of
/// them off, to show that the fault matrix notices.
struct StandardGuards
{
    /// A key is dispatched only after the witness has acknowledged its record.
    static constexpr auto DispatchNeedsAck = true;
    /// A witness acknowledges only its own epoch, and nothing any more once it has sealed it.
    static constexpr auto WitnessChecksEpoch = true;
    /// A primary counts only an acknowledgement of this very update.
    static constexpr auto AckMatchesUpdate = true;
    /// A key that was recorded without an outcome by a former primary never runs.
    static constexpr auto TakeoverSettlesOpenKeys = true;
    /// An update that is older than what is recorded changes nothing.
    static constexpr auto UpdatesAreOrdered = true;
    /// Dropping records raises the low-water mark.
    static constexpr auto ForgettingRaisesMark = true;
    /// Keys that may be older than a loss of records don't run.
    static constexpr auto LossIsRemembered = true;
    /// `not-run` is said of a key that was never bound here only after the witness has acknowledged that: a witness that
    /// has taken over may have had it run.
    static constexpr auto NotRunNeedsAck = true;
    /// After `not-run`, a request that was sent before it has to be confirmed by its entry.
    static constexpr auto StaleSubmitsAreChallenged = true;
    /// A proposer binds and acknowledges nothing from the moment it offers its records.
    static constexpr auto ProposerSealsFirst = true;
    /// A new epoch is written only when its members hold the records, and they take part with nothing else.
    static constexpr auto RecordsGoFirst = true;
    /// A different request under a known key is refused.
    static constexpr auto FingerprintIsChecked = true;
    /// Slots that lost both members wait for a proof that one of them has ended.
    static constexpr auto LossNeedsProof = true;
    /// A restarted node starts a new session.
    static constexpr auto RestartChangesSession = true;
};

} // namespace stairspur::keyed
