#pragma once

#include <string>
#include <vector>

#include <stairspur/routing/UpstreamPool.h>

/// A fixture with a pool of generated upstreams and a clock that the tests set.
namespace stairspur::routing {

inline constexpr auto Millisecond = Duration{1'000};
inline constexpr auto Start = TimePoint{Duration{1'000'000'000}};

/// Returns the level in the middle of a class.
inline auto levelOf(ClassRank rank) -> Level
{
    return makeLevel(rank, HashesPerClass / 2);
}

inline auto makeUpstreams(const std::string &domain, std::size_t n) -> std::vector<Upstream>
{
    auto upstreams = std::vector<Upstream>();
    for (std::size_t index = 0; index < n; ++index)
        upstreams.push_back({domain + std::to_string(index), domain, 1, 10, false});
    return upstreams;
}

inline auto makeReport(std::uint64_t sequence, std::uint32_t inFlight,
                       std::vector<Level> floors = {}) -> admission::LoadReport
{
    return {sequence, 10, inFlight, 0, Duration{0}, false, std::move(floors)};
}

struct PoolFixture
{
    explicit PoolFixture(const std::vector<Upstream> &members, std::uint64_t seed = 1,
                         std::uint32_t subsetSize = 16)
        : random(seed)
        , settings(makeSettings(subsetSize))
        , pool("menu", settings)
    {
        pool.setUpstreams(members, Start);
        now += settings.slowStart;
    }

    static auto makeSettings(std::uint32_t subsetSize) -> RoutingSettings
    {
        auto made = RoutingSettings{};
        made.ownNode = "own-node";
        made.ownDomain = "own";
        made.subsetSize = subsetSize;
        return made;
    }

    auto choose(Level level, const std::vector<NodeId> &excluded = {}, bool mayProbe = false)
            -> RouteDecision
    {
        return pool.choose({level, now + Millisecond * 1000, excluded, mayProbe}, now, random);
    }

    /// Records an attempt that starts and ends at the current time.
    auto attempt(const NodeId &node, Outcome outcome, Reason reason = Reason::None,
                 std::optional<Level> level = std::nullopt) -> void
    {
        pool.didSend(node, now);
        pool.didEnd({node, outcome, reason, Millisecond, std::nullopt, level}, now, random);
    }

    Random random;
    RoutingSettings settings;
    UpstreamPool pool;
    TimePoint now = Start;
};

} // namespace stairspur::routing
