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

/// Proves how lately the configuration in force was the newest, as a lease that every node renews without pause: whoever
/// can't show it for some seconds must not trust keys that may have been taken away since.
///
/// Only a linearizable read of the store proves anything, and only for the moment at which it was sent. The relays of a domain
/// read in turn anyway. What a read proves goes from the reader to the other relays and from each node to those below it
/// in a tree by rank (two parents each, so that one that is paused or gone delays nothing). It is pushed, so that its age
/// does not grow with the steps, and yet no datagram that lay in a queue or behind a cut can pass for a new one: each
/// proof is told as a time since the receiver's own Subscribe, whose sending the receiver noted by its own clock.
///
/// Age at most with 1,077 hosts in a domain, 10 % loss and one relay paused: docs/measurements/freshness.md.
template <typename Policy>
class Freshness
{
public:
    explicit Freshness(DistributionContext &context)
        : m_context(context)
    {}

    /// When the configuration in force was the newest for certain; nothing: never yet.
    [[nodiscard]] auto provenAt() const -> std::optional<TimePoint>
    {
        return m_proof.version > 0 ? std::optional(m_proof.at) : std::nullopt;
    }

    /// A read of the store that was sent at `sentAt` found `version`.
    auto didReadHead(std::uint64_t version, TimePoint sentAt, TimePoint now) -> void
    {
        m_nextRead = now;
        accept({version, sentAt}, now);
    }

    auto didFailToReadHead(TimePoint now) -> void { m_nextRead = now + readPause(); }

    /// Another configuration is in force; a proof may have waited for it.
    auto didAdopt(TimePoint now) -> void { accept(std::exchange(m_pending, Proof()), now); }

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

    auto didReceiveConfirm(const Confirmation &confirmation, TimePoint now) -> void
    {
        const auto it = std::ranges::find(m_sentSubscribes, confirmation.subscription, &SentSubscribe::subscription);
        if (it == m_sentSubscribes.end())
            return; // Of an earlier life, or so old that it proves nothing of use.
        const auto start = Policy::CountsFromRequestTime ? it->sentAt : now;
        accept({confirmation.version, start + confirmation.sinceSubscription}, now);
    }

    /// To be called several times a second.
    auto tick(TimePoint now) -> void
    {
        if (!m_context.settings.isProvingFreshness)
            return;
        if (std::exchange(m_isStarted, true) == false)
            m_nextRead = now + StartPause;
        std::erase_if(m_sentSubscribes, [&](const auto &it) { return it.sentAt + SubscribeLifetime < now; });
        renewParents(now);
        updateAge(now);
        if (Policy::SearchesForProofs && age(now) > SilenceLimit && now >= m_nextSearch)
            search(now);
    }

    /// Whether this node should read the store out of turn. Relays go first; the others are many.
    [[nodiscard]] auto isReadDue(TimePoint now) const -> bool
    {
        return Policy::SearchesForProofs && m_isOld && now >= m_nextRead;
    }

private:
    struct Proof
    {
        std::uint64_t version = 0;
        TimePoint at{};
    };

    struct SentSubscribe
    {
        NodeId to;
        std::uint64_t subscription = 0;
        TimePoint sentAt;
    };

    struct Subscriber
    {
        std::uint64_t subscription = 0;
        TimePoint receivedAt;
        TimePoint endsAt;
    };

    /// Children of each node in the tree. With two parents a node tells eight at most, where sixteen cost 3.3 KB a second at the
    /// inner nodes (docs/measurements/freshness.md); 1,077 hosts are five steps deep, some milliseconds each.
    static constexpr auto FanOut = std::size_t{4};
    /// A few more than the tree has, for nodes that search.
    static constexpr auto MaxSubscribers = std::size_t{48};
    /// A subscription is renewed long before its end, so that a lost datagram or two cost nothing.
    static constexpr auto SubscriptionTime = Duration{8'000'000};
    static constexpr auto RenewInterval = Duration{3'000'000};
    /// Proofs told under older asks are of no use: they would count from too long ago.
    static constexpr auto SubscribeLifetime = Duration{12'000'000};
    /// A domain's relays read once in 1.2 s: whoever has heard of no proof for this long is cut off from them, or they from
    /// the store.
    static constexpr auto SilenceLimit = Duration{1'700'000};
    static constexpr auto SearchInterval = Duration{300'000};
    /// A relay then reads for those whose turn it was; 0.2 s later the next one does.
    static constexpr auto RelayReadLimit = Duration{1'500'000};
    static constexpr auto RelayRetryPause = Duration{500'000};
    /// Others read for themselves once asking has not helped. A host may be the only one that reaches the store.
    static constexpr auto ReadLimit = Duration{2'300'000};
    static constexpr auto MemberRetryPause = Duration{1'500'000};
    /// A node that starts hears from its parents, or as a relay reads at its turn, well within it.
    static constexpr auto StartPause = Duration{1'000'000};
    /// Reads a second that the members of one domain make together while nobody gets an answer: 13 domains stay below a third
    /// of 2,000 calls a second.
    static constexpr auto ReadsPerSecond = 50.0;
    /// Two proofs of one read differ by what their ways took; only a newer read is worth telling on.
    static constexpr auto MinAdvance = Duration{100'000};

    [[nodiscard]] auto age(TimePoint now) const -> Duration
    {
        return m_proof.version == 0 ? Duration::max() : now - m_proof.at;
    }

    /// The members of a domain see their proofs grow old together. If they all read at once then, 1,077 hosts would ask as many
    /// times in a tenth of a second.
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

    /// Over which the reads of nodes with an old proof are spread.
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

    /// The nodes that this one hears proofs from: the other relays for a relay, two nodes of a smaller rank for the others.
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

    /// Asks one node at random, of the own domain and of others by turns: a domain may have lost the store as a whole.
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
    Proof m_proof;     ///< Of the configuration in force.
    Proof m_pending;   ///< Of a newer one that is still being fetched.
    Proof m_sentProof; ///< The last that subscribers were told of.
    std::vector<SentSubscribe> m_sentSubscribes;
    std::map<NodeId, Subscriber> m_subscribers;
    TimePoint m_nextSearch{};
    TimePoint m_nextRead{};
    bool m_isSearchingFar = false;
    bool m_isStarted = false;
    bool m_isOld = false; ///< The proof is so old that this node should read the store itself.
};

} // namespace stairspur::distribution
