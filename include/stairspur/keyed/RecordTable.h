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

/// Limits of what a replica remembers.
struct RecordSettings
{
    WallMilliseconds keyLifetime = 600'000; ///< How long callers may retry a key.
    WallMilliseconds clockMargin = 30'000;  ///< Greatest skew between any two hosts' clocks.
    std::size_t maxRecords = 65'536;        ///< In one slot; new keys are refused beyond.
    std::size_t maxPayloadBytes = 16'384;   ///< Larger answers are recorded without their payload.
};

/// The records of one slot, and the marks below which a key that has no record may have run all the same.
class RecordTable
{
public:
    explicit RecordTable(RecordSettings settings)
        : m_settings(settings)
    {}

    [[nodiscard]] auto find(const std::string &key) const -> const KeyRecord *;

    /// Stores `record` unless what is there is as new or newer.
    auto apply(const KeyRecord &record) -> bool;
    /// Stores `record` whatever is there.
    auto put(KeyRecord record) -> void;

    /// Drops every record that is older than the key lifetime and the clock margin, and raises the low-water mark.
    auto forget(WallMilliseconds now, bool shouldRaiseMark) -> std::size_t;

    /// Whether a key without a record may have run: it was minted below the low-water mark, or before records were
    /// lost or homes were changed, as far as its mint time or the time now can show.
    [[nodiscard]] auto mayHaveForgotten(std::string_view key, bool isHomeExplicit,
                                        WallMilliseconds now) const -> bool;

    /// Whether the key claims to be minted so far ahead of `now` that the marks could not be relied on.
    [[nodiscard]] auto isFromTheFuture(std::string_view key, WallMilliseconds now) const -> bool;

    /// Records from before `when` are lost.
    auto noteLoss(WallMilliseconds when) -> void;
    /// Keys without an explicit home may have been bound in another domain until `when`.
    auto noteHomeChange(WallMilliseconds when) -> void;

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
