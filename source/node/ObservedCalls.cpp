#include "ObservedCalls.h"

#include <algorithm>

namespace stairspur::node {

auto ObservedCalls::didCall(FloorKey of, const DeeperCall &call, std::uint32_t ordinal,
                            TimePoint now) -> void
{
    m_leastImportantRank = std::max(m_leastImportantRank, of.rank);
    auto &seen = m_seen[of.path][call];
    seen.lastCall = now;
    if (ordinal < seen.mostCalls && now - seen.mostSeenAt < Memory)
        return;
    seen.mostCalls = ordinal;
    seen.mostSeenAt = now;
}

auto ObservedCalls::callsPerRequest(PathKey path, const DeeperCall &call) const -> std::uint32_t
{
    const auto ofPath = m_seen.find(path);
    if (ofPath == m_seen.end())
        return 1;
    const auto it = ofPath->second.find(call);
    return it == ofPath->second.end() ? 1 : std::max(it->second.mostCalls, 1U);
}

auto ObservedCalls::paths(TimePoint now) const -> std::vector<Path>
{
    auto result = std::vector<Path>();
    for (const auto &[path, calls] : m_seen) {
        auto recent = Path{path, {}};
        for (const auto &[call, seen] : calls) {
            if (now - seen.lastCall < Memory)
                recent.calls.push_back(call);
        }
        if (!recent.calls.empty())
            result.push_back(std::move(recent));
    }
    std::ranges::sort(result, {}, &Path::path);
    return result;
}

} // namespace stairspur::node
