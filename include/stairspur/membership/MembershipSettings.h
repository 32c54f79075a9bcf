#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::membership {

/// What the membership protocol of one node is set to. "Periods" are protocol periods (SWIM, section 3.1).
struct MembershipSettings
{
    NodeId node;
    std::string domain;
    Incarnation start = 0;     ///< Milliseconds of the wall clock when the process started.
    std::vector<NodeId> seeds; ///< Peers of any domain to join through.

    Duration period{1'000'000};
    /// Periods after the start that last a fifth: a node that has just come, perhaps with all others, has everything to
    /// learn, and calls wait for it.
    std::uint32_t quickPeriods = 0;
    Duration probeTimeout{250'000};   ///< Until a direct probe is followed by indirect ones.
    std::uint32_t indirectProbes = 3; ///< Peers that are asked to probe for us (SWIM's k).
    /// Suspicion lasts this many periods times log10 of the members.
    double suspicionMultiplier = 4;
    /// An update is sent this often times log2 of the members (lambda).
    double retransmitMultiplier = 3;
    /// Periods that an unhealthy node waits longer (Lifeguard, 2018).
    std::uint32_t maxHealthPenalty = 3;

    std::uint32_t urgentFanOut = 4; ///< Peers that are told at once that a member drains or leaves.
    std::uint32_t urgentPerPeriod = 8;  ///< Such updates that are passed on at once, at most.
    std::uint32_t repairPeriods = 10;   ///< Between two probes of a dead member or an unheard seed.
    std::uint32_t exchangePeriods = 30; ///< Between two digest exchanges with a random peer.
    std::uint32_t exchangeDatagrams = 4; ///< Datagrams that answer one digest, at most.
    std::uint32_t maxJoinBackoffPeriods = 30;

    std::uint32_t relays = 3;        ///< Of each domain, by rendezvous rank.
    std::uint32_t relayPeriods = 10; ///< Between two exchanges of one relay with one other domain.
    /// Silence of another domain that counts as lost contact.
    std::uint32_t contactLostPeriods = 30;

    Duration deadRetention{3'600'000'000}; ///< So long a partition heals by itself.
    Duration leftRetention{600'000'000};
    Duration foreignRetention{86'400'000'000}; ///< Of members of other domains, dead or unheard of.
    std::uint32_t maxMembers = 20'000;
    /// Leaves room for the envelope in a datagram of 1400 bytes.
    std::uint32_t maxPayloadBytes = 1200;
    Duration viewPause{
            1'000'000}; ///< Between two views while members keep changing; see ViewPacer.
};

} // namespace stairspur::membership
