#include "ObservedCalls.h"

#include <algorithm>

namespace stairspur::node {

auto ObservedCalls::didCall(FloorKey of, const DeeperCall &call, std::uint32_t ordinal,
                            TimePoint now) -> void
{
    m_leastImportantRank = std::max(m_leastImportantRank, of.rank);
    auto &observation = m_observations[of.path][call];
    observation.lastCall = now;
    if (ordinal < observation.maxCalls && now - observation.maxSeenAt < RetentionTime)
        return;
    observation.maxCalls = ordinal;
    observation.maxSeenAt = now;
}

auto ObservedCalls::callsPerRequest(PathKey path, const DeeperCall &call) const -> std::uint32_t
{
    const auto ofPath = m_observations.find(path);
    if (ofPath == m_observations.end())
        return 1;
    const auto it = ofPath->second.find(call);
    return it == ofPath->second.end() ? 1 : std::max(it->second.maxCalls, 1U);
}

auto ObservedCalls::paths(TimePoint now) const -> std::vector<Path>
{
    auto result = std::vector<Path>();
    for (const auto &[path, calls] : m_observations) {
        auto recent = Path{path, {}};
        for (const auto &[call, observation] : calls) {
            if (now - observation.lastCall < RetentionTime)
                recent.calls.push_back(call);
        }
        if (!recent.calls.empty())
            result.push_back(std::move(recent));
    }
    std::ranges::sort(result, {}, &Path::path);
    return result;
}

} // namespace stairspur::node
