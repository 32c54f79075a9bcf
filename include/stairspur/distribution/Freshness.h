#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/distribution/DistributionContext.h>

namespace stairspur::distribution {

/// Maintains a proof of when the configuration in force was last the newest. The proof is a lease that every node renews
/// continuously: a node without a proof from the last few seconds must not trust keys, which may have been revoked since.
///
/// Only a linearizable read of the store yields a proof, for the moment at which the read was sent. The relays of a domain
/// read the head in turn. The reader sends its proof to the other relays, and each node sends it to its children in a tree
/// by rank. Every node has two parents, so that a paused or stopped parent delays no proof. Proofs are pushed, so that their
/// age does not grow with the depth of the tree. A proof is sent as a time since the receiver's own Subscribe, whose sending
/// time the receiver recorded by its own clock. A datagram that was delayed in a queue or by a cut therefore never counts as
/// a newer proof.
///
/// docs/measurements/freshness.md has the maximum age for 1,077 hosts in a domain with 10 % loss and one relay paused.
template <typename Policy>
class Freshness
{
public:
    explicit Freshness(DistributionContext &context)
        : m_context(context)
    {}

    /// Returns the last time at which the configuration in force was certainly the newest, or nothing without a proof.
    [[nodiscard]] auto provenAt() const -> std::optional<TimePoint>
    {
        return m_proof.version > 0 ? std::optional(m_proof.at) : std::nullopt;
    }

    /// Records that a read of the store sent at `sentAt` found `version`.
    auto didReadHead(std::uint64_t version, TimePoint sentAt, TimePoint now) -> void
    {
        m_nextRead = now;
        accept({version, sentAt}, now);
    }

    /// Records that a read of the store failed and schedules the next one.
    auto didFailToReadHead(TimePoint now) -> void { m_nextRead = now + readPause(); }

    /// Records that another configuration is in force and accepts the proof that was pending for it, if any.
    auto didAdopt(TimePoint now) -> void { accept(std::exchange(m_pending, Proof()), now); }

    /// Adds or renews a subscriber and sends it the current proof.
    auto didReceiveSubscribe(const NodeId &from, std::uint64_t subscription, TimePoint now) -> void
    {
        std::erase_if(m_subscribers, [&](const auto &it) { return it.second.endsAt <= now; });
        const auto isRoom = m_subscribers.size() < MaxSubscribers || m_subscribers.contains(from);
        const auto subscriber = Subscriber{subscription, now, now + SubscriptionTime};
        if (isRoom)
            m_subscribers[from] = subscriber;
        if (m_proof.version > 0)
            confirm(from, subscriber);
    }

    /// Accepts the proof in a confirmation if it answers a recent Subscribe of this process.
    auto didReceiveConfirm(const Confirmation &confirmation, TimePoint now) -> void
    {
        const auto it = std::ranges::find(m_sentSubscribes, confirmation.subscription,
                                          &SentSubscribe::subscription);
        if (it == m_sentSubscribes.end())
            return; // It answers a Subscribe of an earlier process instance, or one that is too old to prove anything useful.
        const auto start = Policy::CountsFromRequestTime ? it->sentAt : now;
        accept({confirmation.version, start + confirmation.sinceSubscription}, now);
    }

    /// Renews subscriptions and searches for proofs. To be called several times a second.
    auto tick(TimePoint now) -> void
    {
        if (!m_context.settings.isProvingFreshness)
            return;
        if (std::exchange(m_isStarted, true) == false)
            m_nextRead = now + StartPause;
        std::erase_if(m_sentSubscribes,
                      [&](const auto &it) { return it.sentAt + SubscribeLifetime < now; });
        renewParents(now);
        updateAge(now);
        if (Policy::SearchesForProofs && age(now) > SilenceLimit && now >= m_nextSearch)
            search(now);
    }

    /// Returns whether this node should read the store out of turn. Relays are due first, since other nodes are numerous.
    [[nodiscard]] auto isReadDue(TimePoint now) const -> bool
    {
        return Policy::SearchesForProofs && m_isOld && now >= m_nextRead;
    }

private:
    /// Proof that `version` was the store's newest at the time `at`.
    struct Proof
    {
        std::uint64_t version = 0;
        TimePoint at{};
    };

    /// A Subscribe that this node sent.
    struct SentSubscribe
    {
        NodeId to;
        std::uint64_t subscription = 0;
        TimePoint sentAt;
    };

    /// A node that receives proofs from this one.
    struct Subscriber
    {
        std::uint64_t subscription = 0;
        TimePoint receivedAt;
        TimePoint endsAt;
    };

    /// Number of children of each node in the tree. Since each child has two parents, a node sends proofs to at most eight
    /// nodes; sixteen cost 3.3 KB a second at the inner nodes (docs/measurements/freshness.md). The tree of 1,077 hosts is
    /// five steps deep, and a step takes some milliseconds.
    static constexpr auto FanOut = std::size_t{4};
    /// Maximum number of subscribers: the children in the tree and some more for nodes that search.
    static constexpr auto MaxSubscribers = std::size_t{48};
    /// Lifetime of a subscription. It is renewed at RenewInterval, so that it survives one or two lost datagrams.
    static constexpr auto SubscriptionTime = Duration{8'000'000};
    static constexpr auto RenewInterval = Duration{3'000'000};
    /// Lifetime of a sent Subscribe. Proofs relative to an older one would be too old to be useful.
    static constexpr auto SubscribeLifetime = Duration{12'000'000};
    /// Age of the proof at which a node starts to search. A domain's relays read once in 1.2 s, so a node without a newer
    /// proof is cut off from them, or they are cut off from the store.
    static constexpr auto SilenceLimit = Duration{1'700'000};
    static constexpr auto SearchInterval = Duration{300'000};
    /// Age of the proof at which a relay reads in place of the relay whose turn it was. The next relay does so 0.2 s later.
    static constexpr auto RelayReadLimit = Duration{1'500'000};
    static constexpr auto RelayRetryPause = Duration{500'000};
    /// Age of the proof at which other nodes read the store after their search has failed. A host may be the only one that
    /// reaches the store.
    static constexpr auto ReadLimit = Duration{2'300'000};
    static constexpr auto MemberRetryPause = Duration{1'500'000};
    /// Time after the start before the first read out of turn. Within it a node receives a proof from its parents or, as a
    /// relay, reads in its turn.
    static constexpr auto StartPause = Duration{1'000'000};
    /// Reads a second by all members of one domain together while the store does not answer. With it 13 domains use less than
    /// a third of 2,000 calls a second.
    static constexpr auto ReadsPerSecond = 50.0;
    /// Minimum difference of a proof to the last one sent. Copies of one read's proof differ by their transmission times, and
    /// only the proof of a newer read needs to be sent.
    static constexpr auto MinAdvance = Duration{100'000};

    [[nodiscard]] auto age(TimePoint now) const -> Duration
    {
        return m_proof.version == 0 ? Duration::max() : now - m_proof.at;
    }

    /// Updates whether the proof is old, and schedules the read at a random time. The proofs of a domain's members become old
    /// together; without the random delay 1,077 hosts would all read the store within a tenth of a second.
    auto updateAge(TimePoint now) -> void
    {
        const auto wasOld = m_isOld;
        m_isOld = age(now) > (m_context.isRelay ? RelayReadLimit : ReadLimit);
        if (m_isOld && !wasOld)
            m_nextRead = std::max(m_nextRead, now + partOf(spread(), randomUnit(m_context.random)));
    }

    static auto partOf(Duration time, double share) -> Duration
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * share));
    }

    /// Returns the time over which the reads of nodes with an old proof are spread.
    [[nodiscard]] auto spread() const -> Duration
    {
        if (m_context.isRelay)
            return RelayRetryPause;
        const auto members = static_cast<double>(m_context.domainPeers.size() + 1);
        return std::max(MemberRetryPause, partOf(Duration{1'000'000}, members / ReadsPerSecond));
    }

    auto accept(Proof proof, TimePoint now) -> void
    {
        if (proof.version == 0 || proof.at > now)
            return;
        if (Policy::WaitsForVersion && proof.version > m_context.current.version()) {
            if (proof.at > m_pending.at)
                m_pending = proof;
            return;
        }
        if (m_proof.version > 0 && proof.at <= m_proof.at)
            return;
        m_proof = proof;
        if (m_proof.at - m_sentProof.at >= MinAdvance)
            confirmSubscribers(now);
    }

    auto confirmSubscribers(TimePoint now) -> void
    {
        m_sentProof = m_proof;
        for (const auto &[node, it] : m_subscribers) {
            if (it.endsAt > now)
                confirm(node, it);
        }
    }

    auto confirm(const NodeId &to, const Subscriber &subscriber) -> void
    {
        auto datagram = ConfigDatagram{DatagramKind::Confirm, m_context.current.digest(), 0, {}};
        datagram.confirmation = {subscriber.subscription, m_proof.version,
                                 m_proof.at - subscriber.receivedAt};
        m_context.send(to, datagram);
    }

    auto sendSubscribe(const NodeId &to, TimePoint now) -> void
    {
        auto datagram = ConfigDatagram{DatagramKind::Subscribe, m_context.current.digest(), 0, {}};
        datagram.confirmation.subscription = m_context.random();
        m_sentSubscribes.push_back({to, datagram.confirmation.subscription, now});
        m_context.send(to, datagram);
    }

    /// Returns the nodes that send proofs to this one: the other relays for a relay, two nodes of a smaller rank otherwise.
    [[nodiscard]] auto parents() const -> std::vector<NodeId>
    {
        const auto &ranking = m_context.domainRanking;
        const auto self = std::ranges::find(ranking, m_context.self);
        const auto rank = static_cast<std::size_t>(self - ranking.begin());
        auto result = std::vector<NodeId>();
        if (rank < RelaysPerDomain) {
            for (auto index = std::size_t{0}; index < std::min(RelaysPerDomain, ranking.size());
                 ++index) {
                if (index != rank)
                    result.push_back(ranking[index]);
            }
            return result;
        }
        const auto first = (rank - RelaysPerDomain) / FanOut;
        result.push_back(ranking[first]);
        result.push_back(ranking[first == 0 ? 1 : first - 1]);
        return result;
    }

    auto renewParents(TimePoint now) -> void
    {
        for (const auto &it : parents()) {
            const auto isSubscribed = std::ranges::any_of(m_sentSubscribes, [&](const auto &sent) {
                return sent.to == it && sent.sentAt + RenewInterval > now;
            });
            if (!isSubscribed)
                sendSubscribe(it, now);
        }
    }

    /// Subscribes to one random node, alternately of this node's domain and of any domain, since a whole domain may have lost
    /// the store.
    auto search(TimePoint now) -> void
    {
        m_nextSearch = now + SearchInterval;
        m_isSearchingFar = !m_isSearchingFar;
        const auto &near = m_context.domainPeers;
        if (!m_isSearchingFar && !near.empty())
            return sendSubscribe(near[randomBelow(m_context.random, near.size())], now);
        const auto &all = m_context.peers;
        if (!all.empty())
            sendSubscribe(all[randomBelow(m_context.random, all.size())].node, now);
    }

    auto readPause() -> Duration { return partOf(spread(), 0.5 + randomUnit(m_context.random)); }

    DistributionContext &m_context;
    Proof m_proof;     ///< Proof of the configuration in force.
    Proof m_pending;   ///< Proof of a newer configuration that is still being fetched.
    Proof m_sentProof; ///< Last proof that was sent to subscribers.
    std::vector<SentSubscribe> m_sentSubscribes;
    std::map<NodeId, Subscriber> m_subscribers;
    TimePoint m_nextSearch{};
    TimePoint m_nextRead{};
    bool m_isSearchingFar = false;
    bool m_isStarted = false;
    bool m_isOld =
            false; ///< Whether the proof is so old that this node should read the store itself.
};

} // namespace stairspur::distribution
