#pragma once

#include <string>
#include <vector>

#include <stairspur/routing/UpstreamPool.h>

#include "CandidateTiers.h"
#include "StatementMemory.h"
#include "UpstreamView.h"

namespace stairspur::routing {

/// The implementation of UpstreamPool: the views of one service's upstreams, sorted by node id, and the choice among them.
class UpstreamPool::State
{
public:
    State(std::string service, const RoutingSettings &settings);

    auto setUpstreams(std::span<const Upstream> upstreams, TimePoint now) -> void;
    auto choose(const RouteRequest &request, TimePoint now, Random &random) -> RouteDecision;
    auto setReachable(const NodeId &node, bool isReachable) -> void;
    auto didSend(const NodeId &node, TimePoint now) -> void;
    auto didEnd(const AttemptResult &result, TimePoint now) -> void;
    auto didReceiveReport(const NodeId &node, const admission::LoadReport &report, TimePoint now)
            -> void;
    [[nodiscard]] auto floorFor(FloorKey key, TimePoint now) const -> Level;
    [[nodiscard]] auto expectedLatency() const -> Duration { return m_smoothedLatency; }
    [[nodiscard]] auto subset() const -> const std::vector<NodeId> & { return m_subset; }
    [[nodiscard]] auto statementOf(const NodeId &node) const -> admission::InstanceStatement;

private:
    auto choose(const RouteRequest &request, const PathFloorEstimate &floorBelow, TimePoint now,
                Random &random) -> RouteDecision;
    [[nodiscard]] auto find(const NodeId &node) -> UpstreamView *;
    [[nodiscard]] auto find(const NodeId &node) const -> const UpstreamView *;
    /// Records the statements of the upstreams that are not in `members`, which are sorted by node id.
    auto keepStatements(const std::vector<Upstream> &members, TimePoint now) -> void;
    auto chooseSubset() -> void;
    auto ejectIfOutlier(UpstreamView &view, TimePoint now) -> void;
    /// Returns the mean success rate of the upstreams that are not ejected.
    [[nodiscard]] auto poolSuccessRate(TimePoint now) const -> double;
    [[nodiscard]] auto estimate(TimePoint now) const -> LoadEstimate;
    [[nodiscard]] auto pathFloor(FloorKey key, TimePoint now) const -> PathFloorEstimate;
    /// Returns whether the upstream is reachable, not ejected and not draining.
    [[nodiscard]] auto isUsable(const UpstreamView &view, TimePoint now) const -> bool;

    /// Adds the upstreams outside the subset. Used when no upstream of the subset admits the call in time.
    auto widen(CandidateTiers &tiers) const -> void;

    /// Returns a random upstream other than `skipped`, weighted by slow-start share.
    auto pickOne(const std::vector<std::uint32_t> &members, std::optional<std::uint32_t> skipped,
                 TimePoint now, Random &random) const -> std::uint32_t;

    /// Returns the less loaded of two random upstreams (Mitzenmacher, IEEE TPDS 2001).
    auto pickOfTwo(const std::vector<std::uint32_t> &members, const LoadEstimate &loads,
                   TimePoint now, Random &random) const -> std::uint32_t;

    /// Returns the upstream whose last call from this entry is the oldest. Calls that stop after a
    /// few attempts thus cover the whole pool together.
    [[nodiscard]] auto leastRecentlyUsed(const std::vector<std::uint32_t> &members) const
            -> std::uint32_t;

    [[nodiscard]] auto reasonFor(Tier tier, const UpstreamView &view, std::size_t candidates) const
            -> RouteReason;
    auto refuse(const CandidateTiers &tiers, const RouteRequest &request, Random &random) const
            -> RouteDecision;

    std::string m_service;
    RoutingSettings m_settings;
    std::vector<UpstreamView> m_views;
    StatementMemory m_formerStatements;
    std::vector<NodeId> m_subset;
    std::vector<std::uint32_t> m_subsetIndices; ///< Indices of m_subset in m_views.
    Duration m_smoothedLatency{0}; ///< Smoothed over answered calls; zero before the first.
};

} // namespace stairspur::routing
