#include "DeeperFloorReporter.h"

#include <algorithm>
#include <utility>

namespace stairspur::node {

/// Shortest time between two publications to the gate, while calls end or any floor is raised.
static constexpr auto FloorInterval = Duration{20'000};
/// Time after which unchanged floors are published again. Floors that are not confirmed expire after a second.
static constexpr auto FloorConfirmInterval = Duration{250'000};

DeeperFloorReporter::DeeperFloorReporter(boost::asio::io_context &io, NodeBoard &board,
                                         const ObservedCalls &observedCalls, FloorAt floorAt)
    : m_board(board)
    , m_observedCalls(observedCalls)
    , m_floorAt(std::move(floorAt))
    , m_timer(io)
{}

auto DeeperFloorReporter::refresh(TimePoint now) -> void
{
    if (now - m_refreshedAt < FloorInterval)
        return;
    m_refreshedAt = now;
    publishFloors(now);
    ensureTimer();
}

/// Starts the timer while any floor is raised, so that floors can fall even when no call ends.
auto DeeperFloorReporter::ensureTimer() -> void
{
    const auto isRaised = [](Level it) { return it > LowestLevel; };
    const auto isRankRaised = std::ranges::any_of(m_published.byRank, isRaised);
    if (m_hasTimer || (!isRankRaised && m_published.byPath.empty()))
        return;
    m_hasTimer = true;
    m_timer.expires_after(FloorInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        m_hasTimer = false;
        if (!ec)
            refresh(monotonicNow());
    });
}

auto DeeperFloorReporter::publishFloors(TimePoint now) -> void
{
    const auto configuration = *m_board.configuration.read();
    const auto service = m_board.backend.read()->service;
    if (!configuration || service.empty())
        return;
    auto floors =
            ReportedDeeperFloors{floorsByRank(*configuration, service, now), floorsByPath(now)};
    if (floors == m_published && now - m_publishedAt < FloorConfirmInterval)
        return;
    m_publishedAt = now;
    m_published = floors;
    m_board.deeperFloors.publish(std::move(floors));
}

/// Returns the floor of each class, from the call paths in the configuration.
auto DeeperFloorReporter::floorsByRank(const config::ConfigurationIndex &configuration,
                                       const std::string &service, TimePoint now) const
        -> std::vector<Level>
{
    auto floors = std::vector<Level>();
    for (const auto &it : configuration.whole().classes) {
        auto floor = LowestLevel;
        for (const auto &deeper : configuration.deeperServices(service, it.rank))
            floor = std::max(floor, m_floorAt({deeper, NoPath}, it.rank, now));
        floors.push_back(floor);
    }
    return floors;
}

/// Returns the floors of the paths of the observed calls. Paths without a floor are omitted.
auto DeeperFloorReporter::floorsByPath(TimePoint now) const -> std::vector<PathFloor>
{
    auto floors = std::vector<PathFloor>();
    for (const auto &it : m_observedCalls.paths(now)) {
        auto floor = LowestLevel;
        for (const auto &call : it.calls)
            floor = std::max(floor, m_floorAt(call, m_observedCalls.leastImportantRank(), now));
        if (floor > LowestLevel)
            floors.push_back({it.path, floor});
    }
    return floors;
}

} // namespace stairspur::node
