#pragma once

#include <concepts>

namespace stairspur::membership {

/// The safety rules of the protocol. Tests disable one at a time to show that the fault matrix detects it.
template <typename Policy>
concept MembershipPolicy = requires {
    {
        Policy::comparesIncarnations
    } -> std::convertible_to<bool>;
    {
        Policy::refutes
    } -> std::convertible_to<bool>;
    {
        Policy::suspectsBeforeDeath
    } -> std::convertible_to<bool>;
    {
        Policy::probesIndirectly
    } -> std::convertible_to<bool>;
    {
        Policy::matchesSequences
    } -> std::convertible_to<bool>;
    {
        Policy::notifiesSuspects
    } -> std::convertible_to<bool>;
    {
        Policy::probesDead
    } -> std::convertible_to<bool>;
    {
        Policy::exchangesDigests
    } -> std::convertible_to<bool>;
    {
        Policy::verifiesDeathClaims
    } -> std::convertible_to<bool>;
    {
        Policy::detectsPauses
    } -> std::convertible_to<bool>;
    {
        Policy::sendsUrgentUpdates
    } -> std::convertible_to<bool>;
    {
        Policy::boundsRetransmission
    } -> std::convertible_to<bool>;
    {
        Policy::keepsUnreachableDomains
    } -> std::convertible_to<bool>;
    {
        Policy::checksRecordDomains
    } -> std::convertible_to<bool>;
};

/// The policy of production nodes, with every rule enabled.
struct StandardPolicy
{
    /// An older record never replaces a newer one.
    static constexpr auto comparesIncarnations = true;
    /// A live node refutes suspicions about itself.
    static constexpr auto refutes = true;
    /// A missed probe leads to a suspicion before a death.
    static constexpr auto suspectsBeforeDeath = true;
    /// A member is also probed through others, since a single network path may fail.
    static constexpr auto probesIndirectly = true;
    /// An answer is accepted only for the probe that it belongs to.
    static constexpr auto matchesSequences = true;
    /// A member that is suspected or declared dead is sent this claim.
    static constexpr auto notifiesSuspects = true;
    /// Dead members are probed, so that two halves of a partition merge again after it heals.
    static constexpr auto probesDead = true;
    /// Digest exchanges repair updates that gossip lost.
    static constexpr auto exchangesDigests = true;
    /// A member is declared dead only by this node's own suspicion timer.
    static constexpr auto verifiesDeathClaims = true;
    /// A pause of this process does not count as a failure of other nodes.
    static constexpr auto detectsPauses = true;
    /// Draining and leaving are sent without waiting for probes.
    static constexpr auto sendsUrgentUpdates = true;
    /// An update leaves the queue after lambda log N sends.
    static constexpr auto boundsRetransmission = true;
    /// Members of an unreachable domain are kept, since a partition does not mean that they are dead.
    static constexpr auto keepsUnreachableDomains = true;
    /// Records of a domain's members are accepted only from nodes of that domain.
    static constexpr auto checksRecordDomains = true;
};

} // namespace stairspur::membership
