#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/distribution/DistributionContext.h>
#include <stairspur/store/Backoff.h>

namespace stairspur::distribution {

/// Fetches newer configurations from peers: by datagram if the changes fit into one, otherwise by control requests, piece by
/// piece. Only one fetch runs at a time. After a failure the next fetch uses another peer after a backoff with jitter.
template <typename Policy>
class PeerFetch
{
public:
    explicit PeerFetch(DistributionContext &context)
        : m_context(context)
        , m_backoff(context.settings.minBackoff, context.settings.maxBackoff)
    {}

    /// Records `from` as a source if its version is newer.
    auto didReceiveDigest(const NodeId &from, const Digest &digest, TimePoint now) -> void
    {
        if (!isNewer<Policy>(digest, m_context.current.digest())) {
            if (m_stage == Stage::Querying && m_peer == from)
                didFail(now); // The queried peer has nothing newer.
            return;
        }
        m_newest = std::max(m_newest, digest.version);
        std::erase(m_sources, from);
        m_sources.push_back(from);
        if (m_sources.size() > MaxSources)
            m_sources.erase(m_sources.begin());
        startIfDue(now);
    }

    /// Returns the configuration that results from a delta if it is newer and matches its digest.
    auto didReceiveDelta(const NodeId &from, const ConfigDatagram &delta, TimePoint now)
            -> std::optional<Adoption>
    {
        const auto &current = m_context.current;
        if (!isNewer<Policy>(delta.digest, current.digest()) || delta.since > current.version())
            return std::nullopt;
        auto candidate = current.assemble(delta.changes, false);
        if (matchesDigest(candidate, delta.digest))
            return Adoption{delta.digest.version, std::move(candidate), ConfigurationSource::Delta,
                            from};
        if (m_stage == Stage::Querying && m_peer == from)
            loadWhole(now);
        return std::nullopt;
    }

    /// Handles that the peer's changes do not fit into a datagram.
    auto didReceiveTooLarge(const NodeId &from, TimePoint now) -> void
    {
        if (m_stage == Stage::Querying && m_peer == from)
            pull(m_context.current.version(), now);
    }

    /// Processes the reply to a control request. Returns the configuration if this was the last piece and the hash matches.
    auto didReceiveReply(std::uint64_t id, const PullReply &reply, TimePoint now)
            -> std::optional<Adoption>
    {
        if (m_stage != Stage::Pulling || id != m_requestId)
            return std::nullopt;
        if (!isNewer<Policy>(reply.digest, m_context.current.digest())) {
            didFail(now);
            return std::nullopt;
        }
        if (reply.digest != m_digest && !startPieces(reply, now))
            return std::nullopt;
        m_collected.changed.insert(reply.piece.changes.changed.begin(),
                                   reply.piece.changes.changed.end());
        m_collected.removed = reply.piece.changes.removed;
        m_collectedBytes += reply.piece.changes.bytes();
        if (m_collectedBytes > m_context.settings.maxSetBytes) {
            didFail(now);
            return std::nullopt;
        }
        if (reply.piece.isLast)
            return didCollect(now);
        sendPull(reply.piece.cursor, now);
        return std::nullopt;
    }

    /// Records that the control request `id` failed.
    auto didFailRequest(std::uint64_t id, TimePoint now) -> void
    {
        if (m_stage == Stage::Pulling && id == m_requestId)
            didFail(now);
    }

    /// Records that a newer configuration is in force, from any source.
    auto didAdopt(TimePoint now) -> void
    {
        m_backoff.reset();
        m_notBefore = now;
        if (m_newest <= m_context.current.version())
            m_sources.clear();
        m_stage = Stage::Idle;
        startIfDue(now);
    }

    /// Checks the timeout and starts a fetch if one is due.
    auto tick(TimePoint now) -> void
    {
        if (m_stage != Stage::Idle && now >= m_deadline)
            didTimeOut(now);
        startIfDue(now);
    }

private:
    enum class Stage {
        Idle,
        Querying, ///< A datagram has been sent.
        Pulling,  ///< A control request has been sent.
    };

    static constexpr auto MaxSources = std::size_t{8};
    static constexpr auto MaxRestarts = 5U;
    static constexpr auto MaxQueries = 2U;

    [[nodiscard]] auto isUnconfigured() const -> bool { return m_context.current.version() == 0; }

    auto matchesDigest(const CurrentConfiguration::Candidate &candidate, const Digest &digest)
            -> bool
    {
        if constexpr (!Policy::VerifiesHash)
            return true;
        if (digestOf(digest.version, candidate.hash) == digest)
            return true;
        m_context.counters.rejectedHashes += 1;
        return false;
    }

    auto startIfDue(TimePoint now) -> void
    {
        const auto mayQueryAnyPeer = Policy::QueriesPeersAtStart && isUnconfigured();
        const auto isBehind = !m_sources.empty() || m_newest > m_context.current.version();
        if (m_stage != Stage::Idle || now < m_notBefore || !(mayQueryAnyPeer || isBehind))
            return;
        m_peer = takeSource();
        if (m_peer.empty())
            return;
        m_restarts = 0;
        m_unanswered = 0;
        if (isUnconfigured())
            pull(0, now);
        else
            sendQuery(now);
    }

    /// Returns the source that announced a newer version last. Without sources it returns a random peer, which may have
    /// received the version meanwhile.
    auto takeSource() -> NodeId
    {
        if (m_sources.empty())
            return Policy::RetriesOtherPeers || isUnconfigured() ? m_context.randomPeer()
                                                                 : NodeId();
        auto peer = std::move(m_sources.back());
        m_sources.pop_back();
        return peer;
    }

    auto sendQuery(TimePoint now) -> void
    {
        m_stage = Stage::Querying;
        m_deadline = now + m_context.settings.datagramTimeout;
        m_context.send(m_peer, {DatagramKind::ChangesRequest, m_context.current.digest(), 0, {}});
    }

    /// Handles a timeout. An unanswered datagram is sent once more. Then a control request queries the same peer, since TCP
    /// retransmits what a bad network loses.
    auto didTimeOut(TimePoint now) -> void
    {
        if (m_stage == Stage::Pulling)
            return didFail(now);
        if (++m_unanswered < MaxQueries)
            sendQuery(now);
        else
            pull(m_context.current.version(), now);
    }

    auto pull(std::uint64_t since, TimePoint now) -> void
    {
        m_since = since;
        m_digest = {};
        sendPull({}, now);
    }

    auto loadWhole(TimePoint now) -> void
    {
        if constexpr (Policy::LoadsWholeOnMismatch)
            pull(0, now);
        else
            didFail(now);
    }

    auto sendPull(std::string cursor, TimePoint now) -> void
    {
        m_stage = Stage::Pulling;
        m_requestId += 1;
        m_deadline = now + 2 * m_context.settings.pullTimeout;
        auto payload = encode(PullRequest{m_since, std::move(cursor)});
        m_context.counters.requestsSent += 1;
        m_context.counters.requestBytesSent += payload.size();
        m_context.actions.emplace_back(SendRequest{m_requestId, m_peer, std::move(payload),
                                                   m_context.settings.pullTimeout});
    }

    /// Starts a set of pieces with the first reply. Returns false if the peer's version has changed since the last piece, and
    /// starts again, since pieces of two versions must not be mixed.
    auto startPieces(const PullReply &reply, TimePoint now) -> bool
    {
        const auto isFirst = m_digest.version == 0;
        m_collected = {};
        m_collectedBytes = 0;
        m_isWhole = reply.since == 0;
        if (isFirst) {
            m_digest = reply.digest;
            return true;
        }
        if (++m_restarts > MaxRestarts)
            didFail(now);
        else
            pull(m_since, now);
        return false;
    }

    auto didCollect(TimePoint now) -> std::optional<Adoption>
    {
        auto candidate = m_context.current.assemble(m_collected, m_isWhole);
        if (matchesDigest(candidate, m_digest)) {
            m_context.counters.wholeLoads += m_isWhole ? 1 : 0;
            return Adoption{m_digest.version, std::move(candidate), ConfigurationSource::Pull,
                            m_peer};
        }
        if (m_isWhole)
            didFail(now);
        else
            loadWhole(now);
        return std::nullopt;
    }

    auto didFail(TimePoint now) -> void
    {
        m_stage = Stage::Idle;
        m_context.counters.failedFetches += 1;
        m_notBefore = now + m_backoff.next(m_context.random);
        if constexpr (!Policy::RetriesOtherPeers)
            m_sources.clear();
    }

    DistributionContext &m_context;
    store::Backoff m_backoff;
    std::vector<NodeId> m_sources;
    std::uint64_t m_newest = 0; ///< Newest version that any peer has announced.
    Stage m_stage = Stage::Idle;
    NodeId m_peer;
    TimePoint m_deadline{};
    TimePoint m_notBefore{};
    std::uint64_t m_requestId = 0;
    std::uint64_t m_since = 0;
    Digest m_digest; ///< Digest of the configuration that the pieces belong to.
    Changes m_collected;
    std::size_t m_collectedBytes = 0;
    bool m_isWhole = false;
    std::uint32_t m_restarts = 0;
    std::uint32_t m_unanswered = 0; ///< Unanswered datagrams to the peer of this fetch.
};

} // namespace stairspur::distribution
