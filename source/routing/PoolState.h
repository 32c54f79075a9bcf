#pragma once

#include <string>
#include <vector>

#include <stairspur/routing/UpstreamPool.h>

#include "CandidateTiers.h"
#include "UpstreamView.h"

namespace stairspur::routing {

/// The views of one service's upstreams, in the order of their ids, and the choice among them.
class UpstreamPool::State
{
public:
    State(std::string service, const RoutingSettings &settings);

    auto setUpstreams(std::span<const Upstream> upstreams, TimePoint now) -> void;
    auto choose(const RouteRequest &request, TimePoint now, Random &random) -> RouteDecision;
    auto setReachable(const NodeId &node, bool isReachable) -> void;
    auto didSend(const NodeId &node, TimePoint now) -> void;
    auto didEnd(const AttemptResult &result, TimePoint now) -> void;
    auto didReport(const NodeId &node, const admission::LoadReport &report, TimePoint now) -> void;
    [[nodiscard]] auto floorFor(FloorKey key, TimePoint now) const -> Level;
    [[nodiscard]] auto expectedLatency() const -> Duration { return m_latency; }
    [[nodiscard]] auto subset() const -> const std::vector<NodeId> & { return m_subset; }

private:
    auto choose(const RouteRequest &request, const PathFloorEstimate &floorBelow, TimePoint now,
                Random &random) -> RouteDecision;
    [[nodiscard]] auto find(const NodeId &node) -> UpstreamView *;
    auto chooseSubset() -> void;
    auto maybeEject(UpstreamView &view, TimePoint now) -> void;
    [[nodiscard]] auto poolRate(TimePoint now) const -> double;
    [[nodiscard]] auto estimate(TimePoint now) const -> LoadEstimate;
    [[nodiscard]] auto pathFloor(FloorKey key, TimePoint now) const -> PathFloorEstimate;
    [[nodiscard]] auto isUsable(const UpstreamView &view, TimePoint now) const -> bool;

    /// Adds the upstreams outside the subset, before a call is refused or placed too late.
    auto widen(CandidateTiers &tiers) const -> void;

    /// One upstream at random, by its slow-start share; `skipped` is left out.
    auto pickOne(const std::vector<std::uint32_t> &members, std::optional<std::uint32_t> skipped,
                 TimePoint now, Random &random) const -> std::uint32_t;

    /// The less loaded of two random upstreams (Mitzenmacher, IEEE TPDS 2001).
    auto pickOfTwo(const std::vector<std::uint32_t> &members, const LoadEstimate &loads,
                   TimePoint now, Random &random) const -> std::uint32_t;

    /// The upstream that a call of ours went to the longest ago. Calls that stop after a few tries
    /// thus sweep the whole pool together.
    [[nodiscard]] auto leastRecent(const std::vector<std::uint32_t> &members) const
            -> std::uint32_t;

    [[nodiscard]] auto reasonFor(Tier tier, const UpstreamView &view, std::size_t candidates) const
            -> RouteReason;
    auto refuse(const CandidateTiers &tiers, const RouteRequest &request, Random &random) const
            -> RouteDecision;

    std::string m_service;
    RoutingSettings m_settings;
    std::vector<UpstreamView> m_views;
    std::vector<NodeId> m_subset;
    std::vector<std::uint32_t> m_subsetIndices; ///< Of m_subset in m_views.
    Duration m_latency{0};                      ///< Smoothed over the answers.
};

} // namespace stairspur::routing
