#include <stairspur/quarantine/CrashRecord.h>

#include <algorithm>
#include <utility>

#include <stairspur/core/Hash.h>
#include <stairspur/core/Hex.h>

namespace stairspur::quarantine {

auto CrashRecord::add(const Crash &crash, std::size_t maxCrashes) -> bool
{
    const auto isBefore = [](const auto &a, CrashId id) { return a.id < id; };
    const auto it = std::lower_bound(m_crashes.begin(), m_crashes.end(), crash.id, isBefore);
    if (it != m_crashes.end() && it->id == crash.id) {
        const auto hasChanged = crash.isCleared && !it->isCleared;
        it->isCleared = it->isCleared || crash.isCleared;
        return hasChanged;
    }
    if (m_crashes.size() >= maxCrashes && (crash.isCleared || !removeOneCleared()))
        return false;
    const auto at = std::lower_bound(m_crashes.begin(), m_crashes.end(), crash.id, isBefore);
    m_crashes.insert(at, crash);
    return true;
}

auto CrashRecord::removeOneCleared() -> bool
{
    const auto it = std::find_if(m_crashes.begin(), m_crashes.end(),
                                 [](const auto &crash) { return crash.isCleared; });
    if (it == m_crashes.end())
        return false;
    m_crashes.erase(it);
    return true;
}

auto CrashRecord::markCleared() -> bool
{
    auto hasChanged = false;
    for (auto &it : m_crashes)
        hasChanged = !std::exchange(it.isCleared, true) || hasChanged;
    return hasChanged;
}

auto CrashRecord::unclearedCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::count_if(m_crashes.begin(), m_crashes.end(),
                                                    [](const auto &it) { return !it.isCleared; }));
}

auto CrashRecord::hash(const RequestFingerprint &fingerprint) const -> std::uint64_t
{
    auto text = toHex(fingerprint.high) + toHex(fingerprint.low);
    for (const auto &it : m_crashes)
        text += toHex(it.id) + (it.isCleared ? "-" : "+");
    return hash64(text);
}

} // namespace stairspur::quarantine
