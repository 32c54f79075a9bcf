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

/// The upstreams and the retry bucket of one service at an entry.
struct ServiceRoutes
{
    std::string service;
    routing::UpstreamPool pool;
    retry::RetryTokenBucket bucket;
    std::uint64_t membersGeneration = 0; ///< Generation of the blackboard's view that the pool has.
};

/// The routes to all services that an entry has sent calls to. They follow membership and configuration. Belongs to the
/// entry's thread.
class ServiceRouteTable
{
public:
    ServiceRouteTable(const NodeSettings &settings, const NodeBoard &board)
        : m_settings(settings)
        , m_board(board)
    {}

    /// Returns the routes of a service, which are created at its first use. The reference stays valid.
    auto routesFor(const std::string &service) -> ServiceRoutes &;

    /// Applies the latest view of the members.
    auto refreshMembers(ServiceRoutes &routes) -> void;

    /// Sets for all services whether calls to a node can be sent.
    auto setReachable(const NodeId &node, bool isReachable) -> void;

    /// Applies the limits of a newer configuration.
    auto didChangeConfiguration() -> void;

    /// Returns the floor of a deeper service for a call of class `rank`, or the lowest level if no call was sent there.
    [[nodiscard]] auto floorAt(const DeeperCall &call, ClassRank rank, TimePoint now) const
            -> Level;

private:
    /// Minimum fleet size. It keeps a node that has received no members yet from using the retries of the whole fleet.
    static constexpr auto MinFleetSize = std::size_t{16};

    [[nodiscard]] auto bucketLimits() const -> retry::BucketLimits;
    auto updateFleetSize(const membership::MembershipView &view) -> void;

    const NodeSettings &m_settings;
    const NodeBoard &m_board;
    std::unordered_map<std::string, std::unique_ptr<ServiceRoutes>> m_routes;
    std::size_t m_fleetSize = MinFleetSize; ///< Maximum number of simultaneous members.
};

} // namespace stairspur::node
