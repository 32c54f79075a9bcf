#include "RequestCosts.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace stairspur::admission {

namespace {

/// Number of calls after which the mean is accurate to some 20 %, where service times spread by 0.5 to 0.8 of the mean.
constexpr auto MinMeasuredCalls = std::uint32_t{16};

/// Ratio to the cheapest kind of the class up to which no level yields. The means of equal kinds differ by as much.
constexpr auto EqualCostRatio = 1.25;
/// Ratio from which on the maximum share yields. At least two requests are then served in place of one.
constexpr auto ExpensiveCostRatio = 2.0;
/// Maximum share of the levels that yield. The other levels are served like all requests of the class, so that no kind
/// starves.
constexpr auto MaxYieldingShare = 0.7;

/// Time after which a kind without calls is removed. It is far above UpdateInterval, and longer than a wave of the
/// traffic.
constexpr auto KindLifetime = Duration(20'000'000);
/// Time between two updates of the yielding levels. Each change moves calls between the bands, and the floor has to
/// follow.
constexpr auto UpdateInterval = Duration(200'000);

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
    it->second.measuredCalls = std::min(it->second.measuredCalls + 1, MinMeasuredCalls);
}

auto RequestCosts::serviceTimeOf(FloorKey kind, Duration fallback) const -> Duration
{
    const auto it = m_kinds.find(kind);
    return it != m_kinds.end() && hasMean(it->second) ? it->second.serviceTime.mean() : fallback;
}

auto RequestCosts::yieldingLevelsOf(FloorKey kind) const -> std::uint32_t
{
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() ? 0 : it->second.yieldingLevels;
}

auto RequestCosts::yieldingPathsOf(ClassRank rank) const -> std::vector<PathKey>
{
    auto paths = std::vector<PathKey>();
    for (const auto &[kind, cost] : m_kinds) {
        if (kind.rank == rank && cost.yieldingLevels > 0)
            paths.push_back(kind.path);
    }
    return paths;
}

auto RequestCosts::advanceTo(TimePoint now) -> void
{
    if (now - m_updatedAt < UpdateInterval)
        return;
    m_updatedAt = now;
    std::erase_if(m_kinds,
                  [&](const auto &it) { return now - it.second.lastOffered > KindLifetime; });
    for (auto &[kind, cost] : m_kinds) {
        const auto ratio = hasMean(cost) ? costPerRootRequest(cost) / lowestCostOf(kind.rank) : 1.0;
        const auto excess = (ratio - EqualCostRatio) / (ExpensiveCostRatio - EqualCostRatio);
        const auto share = MaxYieldingShare * std::clamp(excess, 0.0, 1.0);
        cost.yieldingLevels = static_cast<std::uint32_t>(std::lround(share * HashesPerClass));
    }
}

auto RequestCosts::hasMean(const Cost &cost) -> bool
{
    return cost.measuredCalls >= MinMeasuredCalls;
}

auto RequestCosts::costPerRootRequest(const Cost &cost) -> double
{
    const auto time = std::max<double>(static_cast<double>(cost.serviceTime.mean().count()), 1.0);
    return time * cost.callsPerRoot;
}

auto RequestCosts::lowestCostOf(ClassRank rank) const -> double
{
    auto lowest = std::numeric_limits<double>::max();
    for (const auto &[kind, cost] : m_kinds) {
        if (kind.rank == rank && hasMean(cost))
            lowest = std::min(lowest, costPerRootRequest(cost));
    }
    return lowest;
}

} // namespace stairspur::admission
