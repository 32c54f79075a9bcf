#include "ServiceRouteTable.h"

#include <algorithm>
#include <vector>

namespace stairspur::node {

auto ServiceRouteTable::routesFor(const std::string &service) -> ServiceRoutes &
{
    const auto it = m_routes.find(service);
    if (it != m_routes.end())
        return *it->second;
    auto settings = routing::RoutingSettings();
    settings.ownNode = m_settings.nodeId();
    settings.ownDomain = m_settings.failureDomain;
    settings.subsetSize = m_settings.subsetSize;
    auto routes = std::make_unique<ServiceRoutes>(
            ServiceRoutes{service, routing::UpstreamPool(service, settings),
                          retry::RetryTokenBucket(bucketLimits())});
    return *m_routes.emplace(service, std::move(routes)).first->second;
}

auto ServiceRouteTable::setReachable(const NodeId &node, bool isReachable) -> void
{
    for (auto &[service, routes] : m_routes)
        routes->pool.setReachable(node, isReachable);
}

auto ServiceRouteTable::didChangeConfiguration() -> void
{
    const auto limits = bucketLimits();
    for (auto &[service, routes] : m_routes)
        routes->bucket.setLimits(limits);
}

auto ServiceRouteTable::bucketLimits() const -> retry::BucketLimits
{
    const auto configuration = *m_board.configuration.read();
    const auto limits = configuration ? configuration->whole().retry : config::RetryLimits();
    auto size = limits.bucketSize;
    if (limits.fleetBucketSize > 0)
        size = limits.fleetBucketSize / static_cast<double>(m_fleetSize);
    return {limits.successShare, limits.requestShare, size, limits.window};
}

auto ServiceRouteTable::updateFleetSize(const membership::MembershipView &view) -> void
{
    const auto isPresent = [](const auto &it) { return it.liveness != membership::Liveness::Dead; };
    const auto n = static_cast<std::size_t>(std::ranges::count_if(view.members, isPresent));
    if (n <= m_fleetSize)
        return;
    m_fleetSize = n;
    didChangeConfiguration();
}

auto ServiceRouteTable::refreshMembers(ServiceRoutes &routes) -> void
{
    const auto generation = m_board.members.generation();
    if (generation == routes.membersGeneration)
        return;
    routes.membersGeneration = generation;
    const auto view = m_board.members.read();
    updateFleetSize(*view);
    auto upstreams = std::vector<routing::Upstream>();
    for (const auto &it : view->members) {
        const auto mayServe = it.state == membership::ServingState::Serving
                              || it.state == membership::ServingState::Draining;
        if (it.service != routes.service || it.liveness == membership::Liveness::Dead || !mayServe)
            continue;
        const auto isDraining = it.state == membership::ServingState::Draining;
        upstreams.push_back({it.node, it.domain, it.startIncarnation, it.slots, isDraining});
    }
    routes.pool.setUpstreams(upstreams, monotonicNow());
}

auto ServiceRouteTable::floorAt(const DeeperCall &call, ClassRank rank, TimePoint now) const
        -> Level
{
    const auto found = m_routes.find(call.service);
    return found == m_routes.end() ? LowestLevel
                                   : found->second->pool.floorFor({rank, call.path}, now);
}

} // namespace stairspur::node
