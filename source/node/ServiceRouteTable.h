#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include <stairspur/node/NodeSettings.h>
#include <stairspur/retry/RetryTokenBucket.h>
#include <stairspur/routing/UpstreamPool.h>

#include "NodeBoard.h"
#include "ObservedCalls.h"

namespace stairspur::node {

/// What an entry keeps for one service.
struct ServiceRoutes
{
    std::string service;
    routing::UpstreamPool pool;
    retry::RetryTokenBucket bucket;
    std::uint64_t membersGeneration = 0; ///< Of the blackboard's view that the pool has.
};

/// The services that an entry has sent calls to, kept up to date with membership and configuration. Belongs to the
/// entry's thread.
class ServiceRouteTable
{
public:
    ServiceRouteTable(const NodeSettings &settings, const NodeBoard &board)
        : m_settings(settings)
        , m_board(board)
    {}

    /// The routes of a service; made when it is first asked for. They stay where they are.
    auto routesFor(const std::string &service) -> ServiceRoutes &;

    /// Takes a newer view of the members over.
    auto refreshMembers(ServiceRoutes &routes) -> void;

    /// Tells all services whether calls to a host can be sent.
    auto setReachable(const NodeId &node, bool isReachable) -> void;

    /// Takes over limits that a newer configuration has changed.
    auto didChangeConfiguration() -> void;

    /// The floor that a call of class `rank` meets at a deeper service; none where no call has gone there yet.
    [[nodiscard]] auto floorAt(const DeeperCall &call, ClassRank rank, TimePoint now) const
            -> Level;

private:
    /// A node that knows no others yet must not take the retries of the whole fleet for its own.
    static constexpr auto LeastFleetSize = std::size_t{16};

    [[nodiscard]] auto bucketLimits() const -> retry::BucketLimits;
    auto noteFleetSize(const membership::MembershipView &view) -> void;

    const NodeSettings &m_settings;
    const NodeBoard &m_board;
    std::unordered_map<std::string, std::unique_ptr<ServiceRoutes>> m_routes;
    std::size_t m_fleetSize = LeastFleetSize; ///< The most hosts that were known at once.
};

} // namespace stairspur::node
