#include "ObservedCalls.h"

#include <algorithm>

namespace stairspur::node {

auto ObservedCalls::didCall(FloorKey of, const DeeperCall &call, TimePoint now) -> void
{
    m_leastRank = std::max(m_leastRank, of.rank);
    m_lastCalls[of.path][call] = now;
}

auto ObservedCalls::paths(TimePoint now) const -> std::vector<Path>
{
    auto result = std::vector<Path>();
    for (const auto &[path, calls] : m_lastCalls) {
        auto recent = Path{path, {}};
        for (const auto &[call, lastCall] : calls) {
            if (now - lastCall < Memory)
                recent.calls.push_back(call);
        }
        if (!recent.calls.empty())
            result.push_back(std::move(recent));
    }
    std::ranges::sort(result, {}, &Path::path);
    return result;
}

} // namespace stairspur::node
