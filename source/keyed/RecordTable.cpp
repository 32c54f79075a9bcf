#include <stairspur/keyed/RecordTable.h>

#include <algorithm>
#include <utility>

#include <stairspur/keyed/KeyHome.h>

namespace stairspur::keyed {

auto RecordTable::find(const std::string &key) const -> const KeyRecord *
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

auto RecordTable::apply(const KeyRecord &record) -> bool
{
    const auto *current = find(record.key);
    if (current && current->update >= record.update)
        return false;
    put(record);
    return true;
}

auto RecordTable::put(KeyRecord record) -> void
{
    auto key = record.key;
    m_records.insert_or_assign(std::move(key), std::move(record));
}

auto RecordTable::dropExpired(WallMilliseconds now, bool shouldRaiseMark) -> std::size_t
{
    const auto keep = m_settings.keyLifetime + m_settings.clockMargin;
    if (now <= keep)
        return 0;
    const auto mark = now - keep;
    if (shouldRaiseMark)
        raiseLowWater(mark);
    // A key whose mint time is later than the time of its record is kept until the mark has passed the mint time too.
    return std::erase_if(m_records, [&](const auto &entry) {
        const auto mintedAt = mintTimeOf(entry.first).value_or(0);
        return std::max(mintedAt, entry.second.recordedAt) < mark;
    });
}

auto RecordTable::raiseLowWater(WallMilliseconds mark) -> void
{
    m_lowWater = std::max(m_lowWater, mark);
}

auto RecordTable::recordLoss(WallMilliseconds when) -> void
{
    m_lostAt = std::max(m_lostAt, when);
}

auto RecordTable::recordHomeChange(WallMilliseconds when) -> void
{
    m_homesChangedAt = std::max(m_homesChangedAt, when);
}

auto RecordTable::mayHaveRun(std::string_view key, bool isHomeExplicit, WallMilliseconds now) const
        -> bool
{
    const auto mintedAt = mintTimeOf(key);
    if (mintedAt && *mintedAt < m_lowWater)
        return true;
    if (mayPrecede(key, m_lostAt, now))
        return true;
    return !isHomeExplicit && mayPrecede(key, m_homesChangedAt, now);
}

auto RecordTable::mayPrecede(std::string_view key, WallMilliseconds event,
                             WallMilliseconds now) const -> bool
{
    if (event == 0)
        return false;
    // One margin is for the clock that minted the key, the other for the clock that recorded the event.
    const auto uncertainUntil = event + 2 * m_settings.clockMargin;
    if (const auto mintedAt = mintTimeOf(key))
        return *mintedAt <= uncertainUntil;
    return now <= uncertainUntil + m_settings.keyLifetime;
}

auto RecordTable::isMintedInFuture(std::string_view key, WallMilliseconds now) const -> bool
{
    const auto mintedAt = mintTimeOf(key);
    return mintedAt && *mintedAt > now + m_settings.clockMargin;
}

} // namespace stairspur::keyed
