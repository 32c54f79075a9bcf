#include <stairspur/routing/UpstreamPool.h>

#include "PoolState.h"

namespace stairspur::routing {

UpstreamPool::UpstreamPool(std::string service, const RoutingSettings &settings)
    : m_state(std::make_unique<State>(std::move(service), settings))
{}

UpstreamPool::~UpstreamPool() = default;
UpstreamPool::UpstreamPool(UpstreamPool &&) noexcept = default;
auto UpstreamPool::operator=(UpstreamPool &&) noexcept -> UpstreamPool & = default;

auto UpstreamPool::setUpstreams(std::span<const Upstream> upstreams, TimePoint now) -> void
{
    m_state->setUpstreams(upstreams, now);
}

auto UpstreamPool::choose(const RouteRequest &request, TimePoint now, Random &random)
        -> RouteDecision
{
    return m_state->choose(request, now, random);
}

auto UpstreamPool::setReachable(const NodeId &node, bool isReachable) -> void
{
    m_state->setReachable(node, isReachable);
}

auto UpstreamPool::didSend(const NodeId &node, TimePoint now) -> void
{
    m_state->didSend(node, now);
}

auto UpstreamPool::didEnd(const AttemptResult &result, TimePoint now, Random & /*random*/) -> void
{
    m_state->didEnd(result, now);
}

auto UpstreamPool::didReceiveReport(const NodeId &node, const admission::LoadReport &report,
                                    TimePoint now) -> void
{
    m_state->didReceiveReport(node, report, now);
}

auto UpstreamPool::floorFor(FloorKey key, TimePoint now) const -> Level
{
    return m_state->floorFor(key, now);
}

auto UpstreamPool::expectedLatency() const -> Duration
{
    return m_state->expectedLatency();
}

auto UpstreamPool::statementOf(const NodeId &node) const -> admission::InstanceStatement
{
    return m_state->statementOf(node);
}

auto UpstreamPool::subset() const -> std::vector<NodeId>
{
    return m_state->subset();
}

} // namespace stairspur::routing
