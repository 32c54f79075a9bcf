#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include <stairspur/core/Time.h>
#include <stairspur/keyed/KeyRecord.h>

namespace stairspur::keyed {

/// Limits of the records that a replica keeps.
struct RecordSettings
{
    WallMilliseconds keyLifetime = 600'000; ///< Time during which callers may retry a key.
    WallMilliseconds clockMargin = 30'000;  ///< Maximum skew between the clocks of any two hosts.
    std::size_t maxRecords = 65'536; ///< Maximum of one slot, beyond which new keys are refused.
    std::size_t maxPayloadBytes = 16'384; ///< Larger answers are recorded without their payload.
};

/// The records of one slot, and the times before which a key without a record may nevertheless have run.
class RecordTable
{
public:
    explicit RecordTable(RecordSettings settings)
        : m_settings(settings)
    {}

    /// Returns the record of the key, or null if there is none.
    [[nodiscard]] auto find(const std::string &key) const -> const KeyRecord *;

    /// Stores `record` unless the current record is as new or newer. Returns whether it was stored.
    auto apply(const KeyRecord &record) -> bool;
    /// Stores `record` unconditionally.
    auto put(KeyRecord record) -> void;

    /// Removes every record that is older than the key lifetime plus the clock margin, and raises the low-water mark if
    /// `shouldRaiseMark`. Returns the number of removed records.
    auto dropExpired(WallMilliseconds now, bool shouldRaiseMark) -> std::size_t;

    /// Returns whether a key without a record may have run: it was minted before the low-water mark, or may have been
    /// minted before records were lost or homes were changed, according to its mint time or else the current time.
    [[nodiscard]] auto mayHaveRun(std::string_view key, bool isHomeExplicit,
                                  WallMilliseconds now) const -> bool;

    /// Returns whether the mint time in the key is more than the clock margin after `now`, so that the marks would not
    /// apply to it.
    [[nodiscard]] auto isMintedInFuture(std::string_view key, WallMilliseconds now) const -> bool;

    /// Records that all records from before `when` are lost.
    auto recordLoss(WallMilliseconds when) -> void;
    /// Records that keys without an explicit home may have been bound in another domain until `when`.
    auto recordHomeChange(WallMilliseconds when) -> void;

    [[nodiscard]] auto isFull() const -> bool { return m_records.size() >= m_settings.maxRecords; }
    [[nodiscard]] auto settings() const -> const RecordSettings & { return m_settings; }
    [[nodiscard]] auto records() const -> const std::unordered_map<std::string, KeyRecord> &
    {
        return m_records;
    }
    [[nodiscard]] auto lowWater() const -> WallMilliseconds { return m_lowWater; }
    [[nodiscard]] auto lostAt() const -> WallMilliseconds { return m_lostAt; }
    [[nodiscard]] auto homesChangedAt() const -> WallMilliseconds { return m_homesChangedAt; }
    auto raiseLowWater(WallMilliseconds mark) -> void;

private:
    [[nodiscard]] auto mayPrecede(std::string_view key, WallMilliseconds event,
                                  WallMilliseconds now) const -> bool;

    RecordSettings m_settings;
    std::unordered_map<std::string, KeyRecord> m_records;
    WallMilliseconds m_lowWater = 0;
    WallMilliseconds m_lostAt = 0;
    WallMilliseconds m_homesChangedAt = 0;
};

} // namespace stairspur::keyed
