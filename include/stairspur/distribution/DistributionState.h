#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <stairspur/core/Error.h>
#include <stairspur/distribution/DistributionContext.h>
#include <stairspur/distribution/Freshness.h>
#include <stairspur/distribution/HeadFollower.h>
#include <stairspur/distribution/PeerFetch.h>
#include <stairspur/distribution/WatchSchedule.h>

namespace stairspur::distribution {

/// Implements one node's distribution of configurations without I/O or clock. Events are passed in; takeActions() returns
/// the resulting actions.
///
/// A node that brings a version into force sends its digest to a few random peers of its domain. Nodes that miss it receive
/// the digest on membership's probes and acks. A node that receives the digest of a newer version fetches the changes. A few
/// relays in each domain follow the store's head and send digests to members of other domains, so that a domain that is cut
/// off from the store also receives new versions. The version in force never decreases.
template <typename Policy = DistributionPolicy>
class DistributionState
{
public:
    DistributionState(NodeId self, std::string domain, DistributionSettings settings, bool hasStore,
                      std::uint64_t seed)
        : m_fetch(m_context)
        , m_follower(m_context)
        , m_freshness(m_context)
        , m_watch(seed + 1, WatchSettling)
    {
        m_context.self = std::move(self);
        m_context.domain = std::move(domain);
        m_context.settings = settings;
        m_context.hasStore = hasStore;
        m_context.random.seed(seed);
    }

    DistributionState(const DistributionState &) = delete;
    DistributionState(DistributionState &&) = delete;
    auto operator=(const DistributionState &) -> DistributionState & = delete;
    auto operator=(DistributionState &&) -> DistributionState & = delete;
    ~DistributionState() = default;

    /// Sets the alive nodes of the membership view, which may include this node.
    auto setPeers(std::vector<Peer> alive) -> void
    {
        std::erase_if(alive, [&](const auto &it) { return it.node == m_context.self; });
        m_context.domainPeers.clear();
        for (const auto &it : alive) {
            if (it.domain == m_context.domain)
                m_context.domainPeers.push_back(it.node);
        }
        m_context.peers = alive;
        alive.push_back({m_context.self, m_context.domain});
        m_context.domainRanking = rankedMembers(m_context.domain, alive);
        const auto &ranking = m_context.domainRanking;
        const auto relays = std::min(ranking.size(), RelaysPerDomain);
        const auto rank = static_cast<std::size_t>(std::ranges::find(ranking, m_context.self)
                                                   - ranking.begin());
        m_context.isRelay = rank < relays;
        m_context.relayRank = static_cast<std::uint32_t>(std::min(rank, relays));
        m_context.relayCount = static_cast<std::uint32_t>(relays);
        auto domains = std::map<std::string, std::vector<NodeId>>();
        for (const auto &it : m_context.peers) {
            if (it.domain != m_context.domain)
                domains[it.domain].push_back(it.node);
        }
        m_otherDomains.clear();
        for (auto &[name, members] : domains)
            m_otherDomains.push_back(std::move(members));
    }

    [[nodiscard]] auto digest() const -> Digest { return m_context.current.digest(); }
    [[nodiscard]] auto current() const -> const CurrentConfiguration & { return m_context.current; }
    [[nodiscard]] auto isRelay() const -> bool { return m_context.isRelay; }
    /// Returns the last time at which the configuration in force was certainly the store's newest. Returns nothing without a
    /// proof or when proofs are disabled.
    [[nodiscard]] auto provenAt() const -> std::optional<TimePoint>
    {
        return m_freshness.provenAt();
    }
    [[nodiscard]] auto counters() const -> const DistributionCounters &
    {
        return m_context.counters;
    }

    /// Removes and returns the pending actions.
    [[nodiscard]] auto takeActions() -> std::vector<Action>
    {
        return std::exchange(m_context.actions, {});
    }

    /// Processes the digest on a membership probe or ack of `from`.
    auto didReceiveDigest(const NodeId &from, const Digest &digest, TimePoint now) -> void
    {
        if (!Policy::HandlesDigests)
            return;
        processDigest(from, digest, now);
    }

    /// Processes a datagram of `from`; a malformed one is counted.
    auto didReceiveDatagram(const NodeId &from, std::string_view payload, TimePoint now) -> void
    {
        m_context.counters.datagramBytesReceived += payload.size();
        try {
            handle(from, decodeDatagram(payload), now);
        } catch (const InputError &) {
            m_context.counters.malformed += 1;
        }
    }

    /// Returns the reply to a peer's control request. Throws InputError when the request cannot be decoded.
    [[nodiscard]] auto serve(std::string_view payload) const -> std::string
    {
        const auto request = decodePullRequest(payload);
        const auto &current = m_context.current;
        auto reply = PullReply();
        reply.digest = current.digest();
        reply.since = current.hasChangesSince(request.since) ? request.since : 0;
        reply.piece =
                current.changesSince(reply.since, request.cursor, m_context.settings.pieceBytes);
        return encode(reply);
    }

    /// Processes the reply to the control request `id`.
    auto didReceiveReply(std::uint64_t id, std::string_view payload, TimePoint now) -> void
    {
        m_context.counters.requestBytesReceived += payload.size();
        try {
            const auto reply = decodePullReply(payload);
            m_context.lastReceivedAt = now;
            adopt(m_fetch.didReceiveReply(id, reply, now), now);
        } catch (const InputError &) {
            m_context.counters.malformed += 1;
            m_fetch.didFailRequest(id, now);
        }
    }

    auto didFailRequest(std::uint64_t id, TimePoint now) -> void
    {
        m_fetch.didFailRequest(id, now);
    }

    /// Processes the result of ReadHead; `head` is empty when the store has none.
    auto didReadHead(const std::optional<Head> &head, TimePoint now) -> void
    {
        adopt(m_follower.didReadHead(head, ConfigurationSource::Read, now), now);
    }

    /// Records that `head` was the newest at `sentAt`, when the read was sent. To be called after didReadHead().
    auto didProveHead(const Head &head, TimePoint sentAt, TimePoint now) -> void
    {
        m_freshness.didReadHead(head.version, sentAt, now);
    }

    auto didFailToReadHead(TimePoint now) -> void
    {
        m_follower.didFailToReadHead(now);
        m_freshness.didFailToReadHead(now);
    }

    /// Records that a read sent at `sentAt` found a silent connection to the store. The connection of the watch may be silent
    /// too, so the watch is closed and opened again.
    auto didFindSilence(TimePoint sentAt) -> void
    {
        if (m_watch.didFindSilence(sentAt))
            m_context.actions.emplace_back(CloseWatch{});
    }

    /// Processes a message of a relay's watch.
    auto didWatchHead(const Head &head, TimePoint now) -> void
    {
        adopt(m_follower.didReadHead(head, ConfigurationSource::Watch, now), now);
    }

    /// Records the end of the watch and returns the pause before the next one.
    auto didEndWatch(WatchEnding ending, TimePoint now) -> Duration
    {
        const auto pause = m_watch.didEnd(ending, now);
        updateWatch(now);
        return pause;
    }

    /// Processes the result of ReadSections.
    auto didReadSections(const Blobs &blobs, TimePoint now) -> void
    {
        try {
            adopt(m_follower.didReadSections(blobs, now), now);
        } catch (const InputError &) {
            m_context.counters.malformed += 1;
            m_follower.didFailToReadSections(now);
        }
    }

    auto didFailToReadSections(TimePoint now) -> void { m_follower.didFailToReadSections(now); }

    /// Runs the timers. To be called several times a second.
    auto tick(TimePoint now) -> void
    {
        m_fetch.tick(now);
        m_follower.tick(now);
        m_freshness.tick(now);
        if (m_freshness.isReadDue(now))
            m_follower.readOutOfTurn();
        updateWatch(now);
        if (m_roundsLeft > 0 && now >= m_nextRound)
            sendToOneMore(now);
        if (now >= m_nextCrossDomain)
            sendToOtherDomain(now);
    }

private:
    auto updateWatch(TimePoint now) -> void
    {
        if (!m_context.hasStore)
            return;
        const auto step = m_watch.next(m_context.isRelay, now);
        if (step == WatchStep::Open)
            m_context.actions.emplace_back(OpenWatch{});
        else if (step == WatchStep::Close)
            m_context.actions.emplace_back(CloseWatch{});
    }

    auto handle(const NodeId &from, const ConfigDatagram &datagram, TimePoint now) -> void
    {
        const auto version = m_context.current.version();
        switch (datagram.kind) {
        case DatagramKind::CurrentVersion:
            // A node that sends an older version has missed this one.
            if (datagram.digest.version < version)
                m_context.sendVersion(from);
            break;
        case DatagramKind::ChangesRequest:
            answerChangesRequest(from, datagram.digest);
            break;
        case DatagramKind::Delta:
            adopt(m_fetch.didReceiveDelta(from, datagram, now), now);
            return;
        case DatagramKind::TooLarge:
            m_fetch.didReceiveTooLarge(from, now);
            break;
        case DatagramKind::Subscribe:
            m_freshness.didReceiveSubscribe(from, datagram.confirmation.subscription, now);
            break;
        case DatagramKind::Confirm:
            m_freshness.didReceiveConfirm(datagram.confirmation, now);
            break;
        }
        processDigest(from, datagram.digest, now);
    }

    auto answerChangesRequest(const NodeId &from, const Digest &theirs) -> void
    {
        const auto &current = m_context.current;
        if (theirs.version >= current.version())
            return m_context.sendVersion(from);
        auto reply = ConfigDatagram{DatagramKind::TooLarge, current.digest(), theirs.version, {}};
        if (current.hasChangesSince(theirs.version)) {
            auto piece = current.changesSince(theirs.version, {}, m_context.settings.datagramBytes);
            reply.changes = std::move(piece.changes);
            reply.kind = piece.isLast ? DatagramKind::Delta : DatagramKind::TooLarge;
        }
        if (encode(reply).size() > m_context.settings.datagramBytes)
            reply.kind = DatagramKind::TooLarge;
        m_context.send(from, reply);
    }

    auto processDigest(const NodeId &from, const Digest &digest, TimePoint now) -> void
    {
        m_context.lastReceivedAt = now;
        const auto own = m_context.current.digest();
        if (digest.version == own.version && digest != own)
            didReceiveSecondHash(from, digest, now);
        m_fetch.didReceiveDigest(from, digest, now);
    }

    auto didReceiveSecondHash(const NodeId &from, const Digest &seen, TimePoint) -> void
    {
        if (m_alarmed == seen)
            return;
        m_alarmed = seen;
        m_context.raise(AlarmKind::TwoHashes, seen, from);
    }

    auto adopt(std::optional<Adoption> adoption, TimePoint now) -> void
    {
        if (!adoption)
            return;
        const auto seen = digestOf(adoption->version, adoption->candidate.hash);
        if (!isNewer<Policy>(seen, m_context.current.digest()))
            return;
        m_context.current.adopt(adoption->version, std::move(adoption->candidate));
        m_context.counters.adoptions += 1;
        m_context.actions.emplace_back(Publish{adoption->source, adoption->from});
        sendToPeers(adoption->from);
        sendToOtherDomains(now);
        m_roundsLeft = m_context.settings.laterRounds;
        m_nextRound = now + m_context.settings.roundInterval;
        m_fetch.didAdopt(now);
        m_freshness.didAdopt(now);
        adopt(m_follower.didAdopt(now), now);
    }

    /// Sends the version to a few random peers of this node's domain, except the node that it was received from.
    auto sendToPeers(const NodeId &source) -> void
    {
        auto &peers = m_context.domainPeers;
        const auto n = std::min<std::size_t>(peers.size(), m_context.settings.fanout);
        for (auto index = std::size_t{0}; index < n; ++index) {
            const auto other = index + randomBelow(m_context.random, peers.size() - index);
            std::swap(peers[index], peers[other]);
            if (peers[index] != source)
                m_context.sendVersion(peers[index]);
        }
    }

    /// Sends the version to one more peer. Later rounds reach most of the nodes that the first one left out, sooner than
    /// membership's next probe.
    auto sendToOneMore(TimePoint now) -> void
    {
        m_roundsLeft -= 1;
        m_nextRound = now + m_context.settings.roundInterval;
        const auto &peers = m_context.domainPeers;
        if (!peers.empty())
            m_context.sendVersion(peers[randomBelow(m_context.random, peers.size())]);
    }

    /// Sends a new version to a few other domains at once, so that a domain whose relays have lost the store does not wait
    /// for its turn. The number of domains is limited so that the bytes sent do not grow with it; relays of the reached
    /// domains send the version to further ones.
    auto sendToOtherDomains(TimePoint now) -> void
    {
        const auto n =
                std::min<std::size_t>(m_otherDomains.size(), m_context.settings.crossDomainFanout);
        for (auto index = std::size_t{0}; index < n; ++index)
            sendToOtherDomain(now);
    }

    /// Sends the version to one other domain, each in turn, so that the bytes sent do not grow with the number of domains.
    /// The receiver is a random member, since the domain's relays may have stopped without membership having detected it.
    auto sendToOtherDomain(TimePoint now) -> void
    {
        if (!Policy::SendsToOtherDomains || !m_context.isRelay || m_otherDomains.empty())
            return;
        m_nextCrossDomain = now + m_context.settings.crossDomainInterval;
        m_turn = (m_turn + 1) % m_otherDomains.size();
        const auto &members = m_otherDomains[m_turn];
        m_context.sendVersion(members[randomBelow(m_context.random, members.size())]);
    }

    DistributionContext m_context;
    PeerFetch<Policy> m_fetch;
    HeadFollower<Policy> m_follower;
    Freshness<Policy> m_freshness;
    WatchSchedule m_watch;
    std::vector<std::vector<NodeId>> m_otherDomains; ///< Members of each other domain.
    std::size_t m_turn = 0; ///< Index of the other domain that was last sent the version.
    TimePoint m_nextCrossDomain{};
    std::uint32_t m_roundsLeft = 0;
    TimePoint m_nextRound{};
    Digest m_alarmed; ///< Digest of the last alarm, which is raised once.
};

} // namespace stairspur::distribution
