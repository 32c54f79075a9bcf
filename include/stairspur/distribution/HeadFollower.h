#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/distribution/DistributionContext.h>
#include <stairspur/distribution/Head.h>
#include <stairspur/store/Backoff.h>

namespace stairspur::distribution {

/// Values in the store by their hash.
using Blobs = std::map<std::string, std::string>;

/// Follows the store's head. A relay receives each head by its watch. A watch cannot distinguish a silent connection from an
/// unchanged head, so the relays of a domain also read the head in turn. Other nodes read only when no peer sends anything.
template <typename Policy>
class HeadFollower
{
public:
    explicit HeadFollower(DistributionContext &context)
        : m_context(context)
        , m_backoff(context.settings.minBackoff, context.settings.staleAfter / 4)
    {}

    /// Processes a message of the watch or the result of ReadHead; `head` is empty when the store has none. Returns a newer
    /// configuration if no sections have to be read for it.
    auto didReadHead(const std::optional<Head> &head, ConfigurationSource source, TimePoint now)
            -> std::optional<Adoption>
    {
        const auto isAnswer = source == ConfigurationSource::Read;
        if (isAnswer)
            m_isReadingHead = false;
        m_context.lastReceivedAt = now;
        m_isReadNeeded = false;
        m_backoff.reset();
        checkWhetherBehind(head, isAnswer);
        if (!head
            || !isNewer<Policy>(digestOf(head->version, head->hash), m_context.current.digest()))
            return std::nullopt;
        m_head = *head;
        m_headSource = source;
        if (m_isReadingSections)
            return std::nullopt; // This head is loaded after the pending read of sections.
        return load(now);
    }

    /// Records that ReadHead failed and sets the pause before the next read.
    auto didFailToReadHead(TimePoint now) -> void
    {
        m_isReadingHead = false;
        m_notBefore = now + pauseAfterFailure();
    }

    /// Processes the result of ReadSections. Returns the configuration if its sections are complete and match the hash.
    auto didReadSections(const Blobs &blobs, TimePoint now) -> std::optional<Adoption>
    {
        m_isReadingSections = false;
        if (!isNewer<Policy>(digestOf(m_loading.version, m_loading.hash),
                             m_context.current.digest()))
            return next(now);
        auto changes = m_isWhole ? wholeOf(blobs) : changesOf(blobs);
        if (changes) {
            auto candidate = m_context.current.assemble(*changes, m_isWhole);
            if (candidate.hash == m_loading.hash || !Policy::VerifiesHash) {
                m_context.counters.wholeLoads += m_isWhole ? 1 : 0;
                return Adoption{m_loading.version, std::move(candidate), m_loadingSource, {}};
            }
            m_context.counters.rejectedHashes += 1;
        }
        didMissSections(now);
        return std::nullopt;
    }

    /// Records that ReadSections failed; the head is read again after a pause.
    auto didFailToReadSections(TimePoint now) -> void
    {
        m_isReadingSections = false;
        m_isReadNeeded = true;
        m_notBefore = now + pauseAfterFailure();
    }

    /// Records that a newer configuration is in force, and loads a head that was received meanwhile if it is newer still.
    auto didAdopt(TimePoint now) -> std::optional<Adoption>
    {
        // All relays of a domain bring a version into force at nearly the same time, so this spaces their turns.
        m_nextRead = now + m_context.settings.headPollInterval * (m_context.relayRank + 1);
        return m_isReadingSections ? std::nullopt : next(now);
    }

    /// Reads the head if it is due.
    auto tick(TimePoint now) -> void
    {
        if (std::exchange(m_wasRelay, m_context.isRelay) != m_context.isRelay)
            m_notBefore = now; // The pauses of a node that is not a relay are too long for a relay.
        if (!m_context.hasStore || m_isReadingHead || m_isReadingSections || now < m_notBefore)
            return;
        if (m_start == TimePoint{})
            m_start = now;
        if (!isReadDue(now))
            return;
        if (m_context.isRelay)
            scheduleNextTurn(now);
        else
            m_notBefore = now + jitteredStaleness();
        read();
    }

    /// Reads the head now, regardless of the turns.
    auto readOutOfTurn() -> void
    {
        if (m_context.hasStore && !m_isReadingHead && !m_isReadingSections)
            read();
    }

private:
    /// Number of consecutive reads with an older head than the one in force that raises an alarm. Fewer may be a race with a
    /// newer version that arrived by another way.
    static constexpr auto ReadsForAlarm = 3U;

    [[nodiscard]] auto isReadDue(TimePoint now) const -> bool
    {
        const auto &settings = m_context.settings;
        if (m_context.isRelay)
            return m_isReadNeeded || (Policy::PollsHead && now >= m_nextRead);
        if (m_context.current.version() == 0)
            return now - m_start >= settings.initialStoreDelay;
        return now - std::max(m_context.lastReceivedAt, m_start) >= settings.staleAfter;
    }

    /// Schedules the next turn relative to the scheduled time of this one instead of its start, so that relays' turns stay
    /// apart.
    auto scheduleNextTurn(TimePoint now) -> void
    {
        const auto period = m_context.settings.headPollInterval * m_context.relayCount;
        m_nextRead += period;
        if (m_nextRead <= now)
            m_nextRead = now + period;
    }

    /// Returns the pause after a failed read. A relay pauses no longer than its turns, so that a store that is reachable again
    /// is read in time. The other nodes are numerous and pause longer.
    auto pauseAfterFailure() -> Duration
    {
        const auto pause = m_backoff.next(m_context.random);
        return m_context.isRelay ? std::min(pause, m_context.settings.headPollInterval) : pause;
    }

    auto jitteredStaleness() -> Duration
    {
        const auto &settings = m_context.settings;
        const auto base =
                m_context.current.version() == 0 ? settings.initialStoreDelay : settings.staleAfter;
        return Duration{static_cast<std::int64_t>(static_cast<double>(base.count())
                                                  * (0.5 + randomUnit(m_context.random)))};
    }

    auto checkWhetherBehind(const std::optional<Head> &head, bool isAnswer) -> void
    {
        const auto seen = head ? digestOf(head->version, head->hash) : Digest();
        const auto own = m_context.current.digest();
        if (seen.version >= own.version) {
            m_readsBehind = 0;
            if (seen.version == own.version && seen != own && m_alarmed != seen) {
                m_alarmed = seen;
                m_context.raise(AlarmKind::TwoHashes, seen, "store");
            }
            return;
        }
        if (isAnswer && ++m_readsBehind == ReadsForAlarm)
            m_context.raise(AlarmKind::StoreBehind, seen, "store");
    }

    auto read() -> void
    {
        m_isReadingHead = true;
        m_context.counters.headReads += 1;
        m_context.actions.emplace_back(ReadHead{});
    }

    auto load(TimePoint now) -> std::optional<Adoption>
    {
        m_loading = m_head;
        m_loadingSource = m_headSource;
        m_needed.clear();
        const auto current = m_context.current.version();
        const auto changes = current > 0 ? m_head.changesSince(current) : std::nullopt;
        m_isWhole = !changes;
        if (m_isWhole) {
            read({});
            return std::nullopt;
        }
        m_needed = *changes;
        auto hashes = std::vector<std::string>();
        for (const auto &[name, hash] : m_needed) {
            if (!hash.empty())
                hashes.push_back(hash);
        }
        if (hashes.empty())
            return didReadSections({}, now);
        read(std::move(hashes));
        return std::nullopt;
    }

    auto read(std::vector<std::string> hashes) -> void
    {
        m_isReadingSections = true;
        m_context.counters.sectionReads += 1;
        m_context.actions.emplace_back(ReadSections{std::move(hashes)});
    }

    auto next(TimePoint now) -> std::optional<Adoption>
    {
        if (m_head.version > m_context.current.version())
            return load(now);
        return std::nullopt;
    }

    /// Handles missing or mismatched sections: reads all sections, and if that does not help, the head again.
    auto didMissSections(TimePoint now) -> void
    {
        if (!m_isWhole) {
            m_isWhole = true;
            return read({});
        }
        didFailToReadSections(now);
    }

    [[nodiscard]] auto changesOf(const Blobs &blobs) const -> std::optional<Changes>
    {
        auto changes = Changes();
        for (const auto &[name, hash] : m_needed) {
            if (hash.empty()) {
                changes.removed.push_back(name);
                continue;
            }
            const auto it = blobs.find(hash);
            if (it == blobs.end())
                return std::nullopt;
            changes.changed[name] = it->second;
        }
        return changes;
    }

    [[nodiscard]] auto wholeOf(const Blobs &blobs) const -> std::optional<Changes>
    {
        auto changes = Changes();
        const auto root = blobs.find(m_loading.listHash);
        if (root == blobs.end())
            return std::nullopt;
        for (const auto &bucketHash : decodeRoot(root->second).buckets) {
            if (bucketHash.empty())
                continue;
            const auto bucket = blobs.find(bucketHash);
            if (bucket == blobs.end())
                return std::nullopt;
            for (const auto &[name, hash] : decodeBucket(bucket->second)) {
                const auto it = blobs.find(hash);
                if (it == blobs.end())
                    return std::nullopt;
                changes.changed[name] = it->second;
            }
        }
        return changes;
    }

    DistributionContext &m_context;
    store::Backoff m_backoff;
    TimePoint m_start{};
    TimePoint m_notBefore{};
    TimePoint m_nextRead{};     ///< Time of a relay's next turn.
    bool m_isReadNeeded = true; ///< Whether no head has been read, or reading its sections failed.
    bool m_wasRelay = false;
    bool m_isReadingHead = false;
    bool m_isReadingSections = false;
    bool m_isWhole = false;
    Head m_head; ///< Newest head that was received.
    ConfigurationSource m_headSource = ConfigurationSource::Read;
    Head m_loading; ///< Head whose sections are being read.
    ConfigurationSource m_loadingSource = ConfigurationSource::Read;
    std::map<std::string, std::string> m_needed; ///< Hashes of the changed sections by name.
    std::uint32_t m_readsBehind = 0;
    Digest m_alarmed;
};

} // namespace stairspur::distribution
