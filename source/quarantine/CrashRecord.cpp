#include <stairspur/quarantine/CrashRecord.h>

#include <algorithm>
#include <utility>

#include <stairspur/core/Hash.h>
#include <stairspur/core/Hex.h>

namespace stairspur::quarantine {

auto CrashRecord::add(const Crash &crash, std::size_t most) -> bool
{
    const auto isBefore = [](const auto &a, CrashId id) { return a.id < id; };
    const auto it = std::lower_bound(m_crashes.begin(), m_crashes.end(), crash.id, isBefore);
    if (it != m_crashes.end() && it->id == crash.id) {
        const auto hasChanged = crash.isAcquitted && !it->isAcquitted;
        it->isAcquitted = it->isAcquitted || crash.isAcquitted;
        return hasChanged;
    }
    if (m_crashes.size() >= most && (crash.isAcquitted || !removeOneCleared()))
        return false;
    const auto at = std::lower_bound(m_crashes.begin(), m_crashes.end(), crash.id, isBefore);
    m_crashes.insert(at, crash);
    return true;
}

auto CrashRecord::removeOneCleared() -> bool
{
    const auto it = std::find_if(m_crashes.begin(), m_crashes.end(),
                                 [](const auto &crash) { return crash.isAcquitted; });
    if (it == m_crashes.end())
        return false;
    m_crashes.erase(it);
    return true;
}

auto CrashRecord::acquit() -> bool
{
    auto hasChanged = false;
    for (auto &it : m_crashes)
        hasChanged = !std::exchange(it.isAcquitted, true) || hasChanged;
    return hasChanged;
}

auto CrashRecord::count() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::count_if(
            m_crashes.begin(), m_crashes.end(), [](const auto &it) { return !it.isAcquitted; }));
}

auto CrashRecord::hash(const RequestFingerprint &fingerprint) const -> std::uint64_t
{
    auto text = toHex(fingerprint.high) + toHex(fingerprint.low);
    for (const auto &it : m_crashes)
        text += toHex(it.id) + (it.isAcquitted ? "-" : "+");
    return hash64(text);
}

} // namespace stairspur::quarantine
