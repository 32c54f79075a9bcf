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

struct DistributionSettings
{
    std::uint32_t fanout = 2;      ///< Peers told of a new version at once.
    std::uint32_t laterRounds = 2; ///< In each of them one more peer is told.
    Duration roundInterval{250'000};
    Duration datagramTimeout{200'000};    ///< For a datagram's answer.
    Duration pullTimeout{1'000'000}; ///< For a control request.
    Duration minBackoff{100'000};    ///< Between failed fetches.
    /// Half of the 2 s within which a version must be in force: a node whose fetches failed while it was cut off still has
    /// time for one when it hears of a newer version.
    Duration maxBackoff{1'000'000};
    std::size_t pieceBytes = 64U << 10U;     ///< Of sections in one reply.
    std::size_t maxSetBytes = 64U << 20U;    ///< Of sections taken from a peer.
    std::size_t datagramBytes = 1200;        ///< Larger deltas go by control request.
    Duration crossDomainInterval{1'000'000}; ///< Between a relay's words to another domain.
    std::uint32_t crossDomainFanout = 2;     ///< Other domains told of a new version at once.
    /// The relays of a domain read the head in turn, one of them in each of these, against watches that have fallen silent.
    /// With the spread inside a domain (0.3 s among five hosts, 1.4 s among 400) it has to stay below the time within
    /// which a version must be in force: 2 s on the smallest deployments, 5 s on the largest.
    Duration headPollInterval{1'200'000};
    Duration staleAfter{
            60'000'000}; ///< Without a word from anyone, a node that is no relay reads too.
    Duration initialStoreDelay{
            3'000'000}; ///< A node without a configuration asks its peers alone first.
    /// Whether nodes keep a proof of how lately their configuration was the newest. See Freshness.
    bool isProvingFreshness = false;
};

/// The guards of the distribution. Tests take one away at a time to show that the fault matrix sees it.
struct DistributionPolicy
{
    static constexpr auto IsForwardOnly = true;
    static constexpr auto VerifiesHash = true;
    static constexpr auto KeepsFirstOfEqualVersions = true;
    static constexpr auto RetriesOtherPeers = true; ///< After a failure, from another peer.
    static constexpr auto PollsHead = true;        ///< Against silent watches.
    static constexpr auto QueriesPeersAtStart = true;
    static constexpr auto SendsToOtherDomains = true;
    static constexpr auto LoadsWholeOnMismatch = true;
    static constexpr auto HandlesDigests = true; ///< Those on membership's probes and acks.
    /// A proof counts from when this node asked, not from when the answer came.
    static constexpr auto CountsFromRequestTime = true;
    /// A proof counts once the version that it speaks of is in force here.
    static constexpr auto WaitsForVersion = true;
    /// A node whose proof grows old asks others than its parents, and the store.
    static constexpr auto SearchesForProofs = true;
};

/// Whether a configuration that is told of may take the place of the one in force.
template <typename Policy>
auto isNewer(const Digest &seen, const Digest &own) -> bool
{
    if (seen.version == own.version)
        return !Policy::KeepsFirstOfEqualVersions && seen != own;
    return seen.version > own.version || (!Policy::IsForwardOnly && seen.version > 0);
}

/// A newer configuration that has been put together and verified.
struct Adoption
{
    std::uint64_t version = 0;
    CurrentConfiguration::Candidate candidate;
    ConfigurationSource source = ConfigurationSource::Read;
    NodeId from; ///< Empty: the store.
};

/// What the parts of one node's distribution share.
struct DistributionContext
{
    NodeId self;
    std::string domain;
    DistributionSettings settings;
    bool hasStore = false;
    Random random;

    CurrentConfiguration current;
    std::vector<Peer> peers;         ///< Alive, without this node.
    std::vector<NodeId> domainPeers; ///< Those of its own domain.
    std::vector<NodeId>
            domainRanking; ///< The own domain's members and this node, as relays are chosen.
    bool isRelay = false;
    std::uint32_t relayRank = 0;  ///< Among the relays of its domain; the same on all nodes.
    std::uint32_t relayCount = 1; ///< Of its domain.
    TimePoint lastReceivedAt{};        ///< From any peer or the store.

    std::vector<Action> actions;
    DistributionCounters counters;

    auto send(const NodeId &to, const ConfigDatagram &datagram) -> void
    {
        auto payload = encode(datagram);
        counters.datagramsSent += 1;
        counters.datagramBytesSent += payload.size();
        actions.emplace_back(SendDatagram{to, std::move(payload)});
    }

    auto sendVersion(const NodeId &to) -> void { send(to, {DatagramKind::CurrentVersion, current.digest(), 0, {}}); }

    auto raise(AlarmKind kind, Digest seen, std::string from) -> void
    {
        counters.alarms += 1;
        actions.emplace_back(Alarm{kind, current.digest(), std::move(seen), std::move(from)});
    }

    /// A random peer, of the own domain while there is one; empty when this node is alone.
    auto randomPeer() -> NodeId
    {
        if (!domainPeers.empty())
            return domainPeers[randomBelow(random, domainPeers.size())];
        return peers.empty() ? NodeId() : peers[randomBelow(random, peers.size())].node;
    }
};

} // namespace stairspur::distribution
