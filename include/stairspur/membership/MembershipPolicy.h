#pragma once

#include <concepts>

namespace stairspur::membership {

/// The guards of the protocol. Tests switch one off at a time to show that the fault matrix notices.
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
        Policy::tellsSuspects
    } -> std::convertible_to<bool>;
    {
        Policy::probesDead
    } -> std::convertible_to<bool>;
    {
        Policy::exchangesDigests
    } -> std::convertible_to<bool>;
    {
        Policy::doubtsVerdicts
    } -> std::convertible_to<bool>;
    {
        Policy::noticesPauses
    } -> std::convertible_to<bool>;
    {
        Policy::spreadsUrgently
    } -> std::convertible_to<bool>;
    {
        Policy::boundsRetransmission
    } -> std::convertible_to<bool>;
    {
        Policy::keepsUnreachableDomains
    } -> std::convertible_to<bool>;
    {
        Policy::checksStatedDomains
    } -> std::convertible_to<bool>;
};

/// Every guard on: what nodes run.
struct StandardPolicy
{
    static constexpr auto comparesIncarnations =
            true;                         ///< An older record never replaces a newer one.
    static constexpr auto refutes = true; ///< A live node answers its suspicion.
    static constexpr auto suspectsBeforeDeath = true; ///< A missed probe is not yet a death.
    static constexpr auto probesIndirectly = true;    ///< One bad path is not a failed node.
    static constexpr auto matchesSequences = true; ///< An old answer does not answer a new probe.
    static constexpr auto tellsSuspects = true; ///< Whoever is suspected or given up hears of it.
    static constexpr auto probesDead =
            true; ///< Halves that gave each other up find together again.
    static constexpr auto exchangesDigests = true; ///< Updates that gossip lost are repaired.
    static constexpr auto doubtsVerdicts = true;   ///< Only the own timer gives a member up.
    static constexpr auto noticesPauses = true;    ///< Own silence is not the others' failure.
    static constexpr auto spreadsUrgently = true;  ///< Draining and leaving don't wait for probes.
    static constexpr auto boundsRetransmission =
            true; ///< An update leaves the queue after lambda log N sends.
    static constexpr auto keepsUnreachableDomains =
            true; ///< A partition is not the death of the other side.
    static constexpr auto checksStatedDomains =
            true; ///< Only a domain's own nodes speak for its members.
};

} // namespace stairspur::membership
