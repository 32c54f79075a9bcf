#pragma once

namespace stairspur::keyed {

/// The checks that ensure that a keyed call runs at most once. Production code uses them all. A test derives a type
/// that disables one of them and verifies that the fault matrix finds a violation.
struct StandardGuards
{
    /// A key is dispatched only after the witness has acknowledged its record.
    static constexpr auto DispatchNeedsAck = true;
    /// A witness acknowledges updates only of its current epoch, and none after it has sealed that epoch.
    static constexpr auto WitnessChecksEpoch = true;
    /// A primary accepts an acknowledgement only for exactly the update that it waits for.
    static constexpr auto AckMatchesUpdate = true;
    /// A key that a former primary recorded without an outcome is never run.
    static constexpr auto TakeoverSettlesOpenKeys = true;
    /// An update that is older than the recorded one is ignored.
    static constexpr auto UpdatesAreOrdered = true;
    /// Dropping records raises the low-water mark.
    static constexpr auto ForgettingRaisesMark = true;
    /// A key that may be older than a loss of records is not run.
    static constexpr auto LossIsRemembered = true;
    /// `not-run` is reported for a key that was not dispatched here only after the witness has acknowledged that
    /// record, since a witness that has taken over may have run the key.
    static constexpr auto NotRunNeedsAck = true;
    /// A request that was sent before a `not-run` reply for its key must be confirmed by its entry.
    static constexpr auto StaleSubmitsAreChallenged = true;
    /// A proposer binds and acknowledges nothing after it has offered its records.
    static constexpr auto ProposerSealsFirst = true;
    /// A new epoch is written only after its members have stored the records, and a member takes part only with them.
    static constexpr auto RecordsGoFirst = true;
    /// A different request with a recorded key is refused.
    static constexpr auto FingerprintIsChecked = true;
    /// A slot that has lost both members waits for a proof that the process of one of them has terminated.
    static constexpr auto LossNeedsProof = true;
    /// A restarted node starts a new session.
    static constexpr auto RestartChangesSession = true;
};

} // namespace stairspur::keyed
