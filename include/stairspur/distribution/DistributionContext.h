#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/distribution/Actions.h>
#include <stairspur/distribution/CurrentConfiguration.h>
#include <stairspur/distribution/Messages.h>
#include <stairspur/distribution/RelayRank.h>

namespace stairspur::distribution {

/// Settings of the distribution.
struct DistributionSettings
{
    std::uint32_t fanout = 2; ///< Peers that are sent a new version at once.
    std::uint32_t laterRounds =
            2; ///< Rounds that follow, each of which sends the version to one more peer.
    Duration roundInterval{250'000};   ///< Time between these rounds.
    Duration datagramTimeout{200'000}; ///< Time limit for the answer to a datagram.
    Duration pullTimeout{1'000'000};   ///< Time limit for the reply to a control request.
    Duration minBackoff{100'000};      ///< Shortest pause after a failed fetch.
    /// Longest pause after a failed fetch. It is half of the 2 s within which a version must be in force, so that a node
    /// whose fetches failed while it was cut off has time for one fetch after it receives a newer version's digest.
    Duration maxBackoff{1'000'000};
    std::size_t pieceBytes = 64U << 10U;  ///< Maximum bytes of sections in one reply.
    std::size_t maxSetBytes = 64U << 20U; ///< Maximum bytes of all sections accepted from a peer.
    std::size_t datagramBytes =
            1200; ///< Maximum size of a delta; control requests carry larger ones.
    Duration crossDomainInterval{1'000'000}; ///< Time between a relay's datagrams to other domains.
    std::uint32_t crossDomainFanout = 2;     ///< Other domains that are sent a new version at once.
    /// Interval at which one relay of a domain, each in turn, reads the head, since a watch may be silent without an error.
    /// Together with the spread inside a domain (0.3 s among five hosts, 1.4 s among 400) it has to stay below the time
    /// within which a version must be in force: 2 s on the smallest deployments, 5 s on the largest.
    Duration headPollInterval{1'200'000};
    /// Time without any message after which a node that is not a relay also reads the head.
    Duration staleAfter{60'000'000};
    /// Time during which a node without a configuration queries only its peers before it reads the store.
    Duration initialStoreDelay{3'000'000};
    /// Whether nodes maintain a proof of when their configuration was last the newest. See Freshness.
    bool isProvingFreshness = false;
};

/// The guards of the distribution. Tests disable one at a time to show that the fault matrix detects its absence.
struct DistributionPolicy
{
    /// The version in force never decreases.
    static constexpr auto IsForwardOnly = true;
    /// Sections come into force only if they match the announced hash.
    static constexpr auto VerifiesHash = true;
    /// Of two configurations with the same version the first stays in force.
    static constexpr auto KeepsFirstOfEqualVersions = true;
    /// A failed fetch is repeated from another peer.
    static constexpr auto RetriesOtherPeers = true;
    /// Relays read the head in turn, since a watch may be silent without an error.
    static constexpr auto PollsHead = true;
    /// A node without a configuration queries its peers.
    static constexpr auto QueriesPeersAtStart = true;
    /// Relays send the current version to other domains.
    static constexpr auto SendsToOtherDomains = true;
    /// All sections are loaded when the changes do not match the hash.
    static constexpr auto LoadsWholeOnMismatch = true;
    /// The digests on membership's probes and acks are processed.
    static constexpr auto HandlesDigests = true;
    /// A proof counts from the time at which this node sent its request instead of the arrival of the answer.
    static constexpr auto CountsFromRequestTime = true;
    /// A proof counts only after its version has come into force on this node.
    static constexpr auto WaitsForVersion = true;
    /// A node with an old proof queries nodes other than its parents, and the store.
    static constexpr auto SearchesForProofs = true;
};

/// Returns whether an announced configuration may replace the one in force.
template <typename Policy>
auto isNewer(const Digest &seen, const Digest &own) -> bool
{
    if (seen.version == own.version)
        return !Policy::KeepsFirstOfEqualVersions && seen != own;
    return seen.version > own.version || (!Policy::IsForwardOnly && seen.version > 0);
}

/// A newer configuration that has been assembled and verified.
struct Adoption
{
    std::uint64_t version = 0;
    CurrentConfiguration::Candidate candidate;
    ConfigurationSource source = ConfigurationSource::Read;
    NodeId from; ///< Node that sent the configuration; empty for the store.
};

/// State that the parts of one node's distribution share.
struct DistributionContext
{
    NodeId self;
    std::string domain;
    DistributionSettings settings;
    bool hasStore = false;
    Random random;

    CurrentConfiguration current;
    std::vector<Peer> peers;         ///< Alive nodes without this one.
    std::vector<NodeId> domainPeers; ///< Alive nodes of this node's domain without this one.
    std::vector<NodeId>
            domainRanking; ///< Members of this node's domain in the order in which relays are chosen.
    bool isRelay = false;
    std::uint32_t relayRank = 0;  ///< Rank among the relays of the domain; the same on all nodes.
    std::uint32_t relayCount = 1; ///< Number of relays in the domain.
    TimePoint lastReceivedAt{};   ///< Time of the last message from any peer or the store.

    std::vector<Action> actions;
    DistributionCounters counters;

    /// Queues a datagram and counts it.
    auto send(const NodeId &to, const ConfigDatagram &datagram) -> void
    {
        auto payload = encode(datagram);
        counters.datagramsSent += 1;
        counters.datagramBytesSent += payload.size();
        actions.emplace_back(SendDatagram{to, std::move(payload)});
    }

    /// Sends the digest of the configuration in force.
    auto sendVersion(const NodeId &to) -> void
    {
        send(to, {DatagramKind::CurrentVersion, current.digest(), 0, {}});
    }

    /// Queues an alarm and counts it.
    auto raise(AlarmKind kind, Digest seen, std::string from) -> void
    {
        counters.alarms += 1;
        actions.emplace_back(Alarm{kind, current.digest(), std::move(seen), std::move(from)});
    }

    /// Returns a random peer, of this node's domain if there is one; empty without any peer.
    auto randomPeer() -> NodeId
    {
        if (!domainPeers.empty())
            return domainPeers[randomBelow(random, domainPeers.size())];
        return peers.empty() ? NodeId() : peers[randomBelow(random, peers.size())].node;
    }
};

} // namespace stairspur::distribution
