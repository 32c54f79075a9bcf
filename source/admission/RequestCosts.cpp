#include "RequestCosts.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace stairspur::admission {

namespace {

/// Calls after which the mean is good to some 20 %, at the spreads of the users' sheets (0.5 to 0.8 of the mean).
constexpr auto CallsToKnow = std::uint32_t{16};

/// Up to this ratio to the cheapest kind of the class nothing yields: the means of equal kinds differ by as much.
constexpr auto EqualCostRatio = 1.25;
/// From this ratio on all that may yield does: at least two requests are served in the place of one.
constexpr auto DearCostRatio = 2.0;
/// The most that yields. What stays is served like every other request of the class, so that no kind starves.
constexpr auto MostYieldingShare = 0.7;

/// Far above the time between two judgements, and above a wave of the traffic.
constexpr auto Memory = Duration(20'000'000);
/// A judgement that changes moves calls between bands, and the floor has to follow.
constexpr auto JudgeInterval = Duration(200'000);

} // namespace

auto RequestCosts::didOffer(FloorKey kind, std::uint32_t callsPerRoot, TimePoint now) -> void
{
    auto &cost = m_kinds[kind];
    cost.callsPerRoot = std::max(callsPerRoot, 1U);
    cost.lastOffered = now;
}

auto RequestCosts::didMeasure(FloorKey kind, Duration latency) -> void
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end())
        return;
    it->second.serviceTime.didMeasure(latency);
    it->second.measured = std::min(it->second.measured + 1, CallsToKnow);
}

auto RequestCosts::serviceTimeOf(FloorKey kind, Duration otherwise) const -> Duration
{
    const auto it = m_kinds.find(kind);
    return it != m_kinds.end() && isKnown(it->second) ? it->second.serviceTime.mean() : otherwise;
}

auto RequestCosts::yieldingLevelsOf(FloorKey kind) const -> std::uint32_t
{
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() ? 0 : it->second.yielding;
}

auto RequestCosts::yieldingPathsOf(ClassRank rank) const -> std::vector<PathKey>
{
    auto paths = std::vector<PathKey>();
    for (const auto &[kind, cost] : m_kinds) {
        if (kind.rank == rank && cost.yielding > 0)
            paths.push_back(kind.path);
    }
    return paths;
}

auto RequestCosts::didPassTime(TimePoint now) -> void
{
    if (now - m_judgedAt < JudgeInterval)
        return;
    m_judgedAt = now;
    std::erase_if(m_kinds, [&](const auto &it) { return now - it.second.lastOffered > Memory; });
    for (auto &[kind, cost] : m_kinds) {
        const auto ratio = isKnown(cost) ? perRoot(cost) / leastOf(kind.rank) : 1.0;
        const auto dearness = (ratio - EqualCostRatio) / (DearCostRatio - EqualCostRatio);
        const auto share = MostYieldingShare * std::clamp(dearness, 0.0, 1.0);
        cost.yielding = static_cast<std::uint32_t>(std::lround(share * HashesPerClass));
    }
}

auto RequestCosts::isKnown(const Cost &cost) -> bool
{
    return cost.measured >= CallsToKnow;
}

auto RequestCosts::perRoot(const Cost &cost) -> double
{
    const auto time = std::max<double>(static_cast<double>(cost.serviceTime.mean().count()), 1.0);
    return time * cost.callsPerRoot;
}

auto RequestCosts::leastOf(ClassRank rank) const -> double
{
    auto least = std::numeric_limits<double>::max();
    for (const auto &[kind, cost] : m_kinds) {
        if (kind.rank == rank && isKnown(cost))
            least = std::min(least, perRoot(cost));
    }
    return least;
}

} // namespace stairspur::admission
