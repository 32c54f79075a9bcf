#include "OwnFloorEstimate.h"

#include <algorithm>

namespace stairspur::routing {

/// Part of the words, by weight, that the floor may stand above.
static constexpr auto LowestShare = 0.25;

auto OwnFloorEstimate::include(const UpstreamView &view) -> void
{
    const auto age = view.floors().age(m_key, m_now);
    if (age > m_halfLife)
        return;
    m_words.push_back(
            {view.floors().ownFloorFor(m_key, m_now, m_halfLife), freshness(age, m_halfLife)});
}

auto OwnFloorEstimate::floor() const -> Level
{
    auto words = m_words;
    std::sort(words.begin(), words.end(),
              [](const Word &a, const Word &b) { return a.floor < b.floor; });
    auto left = 0.0;
    for (const auto &it : words)
        left += it.weight * LowestShare;
    for (const auto &it : words) {
        left -= it.weight;
        if (left <= 0)
            return it.floor;
    }
    return LowestLevel;
}

} // namespace stairspur::routing
