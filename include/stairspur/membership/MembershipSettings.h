#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::membership {

/// Settings of the membership protocol of one node. "Periods" are protocol periods (SWIM, section 3.1).
struct MembershipSettings
{
    NodeId node;
    std::string domain;
    /// Start of the process in milliseconds of the wall clock.
    Incarnation startIncarnation = 0;
    /// Peers of any domain to join through.
    std::vector<NodeId> seeds;

    Duration period{1'000'000};
    /// Number of periods after the start that take a fifth of `period`: a node that has just started, perhaps
    /// together with all others, has no records yet, and calls wait for them.
    std::uint32_t quickPeriods = 0;
    /// Time after which indirect probes follow a direct one.
    Duration probeTimeout{250'000};
    /// Number of peers that probe indirectly for one direct probe (SWIM's k).
    std::uint32_t indirectProbes = 3;
    /// Suspicion lasts this many periods times log10 of the members.
    double suspicionMultiplier = 4;
    /// Number of times that an update is sent, divided by log2 of the members (lambda).
    double retransmitMultiplier = 3;
    /// Maximum number of extra periods that an unhealthy node waits (Lifeguard, 2018).
    std::uint32_t maxHealthPenalty = 3;

    /// Number of peers to which a draining or leaving member is sent without delay.
    std::uint32_t urgentFanOut = 4;
    /// Maximum number of such updates forwarded in one period.
    std::uint32_t maxUrgentPerPeriod = 8;
    /// Periods between two probes of a dead member or of a seed that never answered.
    std::uint32_t repairPeriods = 10;
    /// Periods between two digest exchanges with a random peer.
    std::uint32_t exchangePeriods = 30;
    /// Maximum number of datagrams in reply to one digest.
    std::uint32_t maxExchangeDatagrams = 4;
    std::uint32_t maxJoinBackoffPeriods = 30;

    /// Number of relays of each domain, chosen by rendezvous rank.
    std::uint32_t relaysPerDomain = 3;
    /// Periods between two exchanges of one relay with one other domain.
    std::uint32_t relayPeriods = 10;
    /// Periods without a message from another domain after which contact with it counts as lost.
    std::uint32_t contactLostPeriods = 30;

    /// Retention of dead members of the own domain. A partition that is shorter heals without intervention.
    Duration deadRetention{3'600'000'000};
    Duration leftRetention{600'000'000};
    /// Retention of members of other domains that are dead or not updated.
    Duration foreignRetention{86'400'000'000};
    std::uint32_t maxMembers = 20'000;
    /// Leaves room for the envelope in a datagram of 1400 bytes.
    std::uint32_t maxPayloadBytes = 1200;
    /// Minimum time between two views while members keep changing; see ViewPacer.
    Duration minViewInterval{1'000'000};
};

} // namespace stairspur::membership
