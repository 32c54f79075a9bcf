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

/// Values of the store by their hash.
using Blobs = std::map<std::string, std::string>;

/// Follows the store's head. A relay hears of each head by its watch; and since no watch can tell silence from quiet, the
/// relays of a domain also read the head in turn. Other nodes read only when they have nobody else to ask.
template <typename Policy>
class HeadFollower
{
public:
    explicit HeadFollower(DistributionContext &context)
        : m_context(context)
        , m_backoff(context.settings.minBackoff, context.settings.staleAfter / 4)
    {}

    /// A watch's message, or the answer to ReadHead. Nothing: the store has no head.
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
            return std::nullopt; // Taken up once those are there.
        return load(now);
    }

    auto didFailToReadHead(TimePoint now) -> void
    {
        m_isReadingHead = false;
        m_notBefore = now + pauseAfterFailure();
    }

    auto didReadSections(const Blobs &blobs, TimePoint now) -> std::optional<Adoption>
    {
        m_isReadingSections = false;
        if (!isNewer<Policy>(digestOf(m_loading.version, m_loading.hash), m_context.current.digest()))
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

    auto didFailToReadSections(TimePoint now) -> void
    {
        m_isReadingSections = false;
        m_isReadNeeded = true;
        m_notBefore = now + pauseAfterFailure();
    }

    /// Something newer is in force: a head that came meanwhile may be newer still.
    auto didAdopt(TimePoint now) -> std::optional<Adoption>
    {
        // All relays of a domain take a version into force at nearly the same time, which sets their turns apart.
        m_nextRead = now + m_context.settings.headPollInterval * (m_context.relayRank + 1);
        return m_isReadingSections ? std::nullopt : next(now);
    }

    auto tick(TimePoint now) -> void
    {
        if (std::exchange(m_wasRelay, m_context.isRelay) != m_context.isRelay)
            m_notBefore = now; // The other role's pauses are longer than a relay may wait.
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

    /// Reads the head now, whoever's turn it is.
    auto readOutOfTurn() -> void
    {
        if (m_context.hasStore && !m_isReadingHead && !m_isReadingSections)
            read();
    }

private:
    /// So many reads in a row that find an older head than the one in force are no race with the news of a newer one.
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

    /// The next turn is counted from this one's time, not from when it was taken, so that relays' turns stay apart.
    auto scheduleNextTurn(TimePoint now) -> void
    {
        const auto period = m_context.settings.headPollInterval * m_context.relayCount;
        m_nextRead += period;
        if (m_nextRead <= now)
            m_nextRead = now + period;
    }

    /// A relay goes on at its turns, so that a store that is back is read in time; the many others leave it alone longer.
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

    /// Sections are missing or do not add up: the whole is read, and after that the head anew.
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
    TimePoint m_nextRead{};     ///< A relay's next turn.
    bool m_isReadNeeded = true; ///< No head has been read, or its sections could not be.
    bool m_wasRelay = false;
    bool m_isReadingHead = false;
    bool m_isReadingSections = false;
    bool m_isWhole = false;
    Head m_head; ///< The newest that was seen.
    ConfigurationSource m_headSource = ConfigurationSource::Read;
    Head m_loading; ///< The one whose sections are being read.
    ConfigurationSource m_loadingSource = ConfigurationSource::Read;
    std::map<std::string, std::string> m_needed;
    std::uint32_t m_readsBehind = 0;
    Digest m_alarmed;
};

} // namespace stairspur::distribution
