#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "LoadEstimate.h"
#include "PathFloorEstimate.h"
#include "UpstreamView.h"

namespace stairspur::routing {

/// How well an upstream suits a call, from best to worst.
enum class Tier {
    OwnDomain, ///< Admits the call, with an expected wait that is short beside the remaining time.
    OtherDomain,              ///< The same as OwnDomain, in another failure domain.
    OwnDomainLate,            ///< Admits the call after a longer wait, within the remaining time.
    OtherDomainLate,          ///< The same as OwnDomainLate, in another failure domain.
    OwnDomainOutsideSubset,   ///< Outside the subset, in the own failure domain.
    OtherDomainOutsideSubset, ///< Outside the subset, in another failure domain.
    TooLate, ///< Admits the call, but its reports show a wait beyond the deadline; the gate decides.
    StaleFloor, ///< The floor is above the call, but it is too old to refuse the call.
    BelowFloor, ///< The floor is above the call and recent.
};

/// Number of tiers.
inline constexpr std::size_t TierCount = 9;

/// Returns the greatest age at which a cached floor refuses a call of class `rank`; for an older floor the call is sent
/// and its gate decides. The age is shorter for more important classes. Each entry sends each gate about one such call
/// in this time, however many calls are below its floor.
auto maxFloorAge(ClassRank rank, Duration halfLife) -> Duration;

/// The upstreams that a call may be sent to, grouped by tier.
class CandidateTiers
{
public:
    CandidateTiers(const RouteRequest &request, const RoutingSettings &settings, TimePoint now,
                   const LoadEstimate &estimate, const PathFloorEstimate &pathFloor)
        : m_request(request)
        , m_settings(settings)
        , m_now(now)
        , m_estimate(estimate)
        , m_pathFloor(pathFloor)
    {}

    /// Adds an upstream to its tier. One that is draining, ejected, unreachable or excluded is in no tier.
    auto add(const UpstreamView &view, std::size_t index) -> void;

    /// Returns the indices of the upstreams in `tier`.
    [[nodiscard]] auto members(Tier tier) const -> const std::vector<std::uint32_t> &
    {
        return m_tiers[static_cast<std::size_t>(tier)];
    }

    /// Returns the best tier that has members, without BelowFloor.
    [[nodiscard]] auto best() const -> std::optional<Tier>;

    /// Returns whether an upstream of the subset is expected to answer in time.
    [[nodiscard]] auto hasTimelyInSubset() const -> bool;

    /// Returns the lowest floor that is above the call. Excluded upstreams count too.
    [[nodiscard]] auto lowestFloor() const -> std::optional<Level> { return m_lowestFloor; }

    /// Returns whether an added upstream is draining.
    [[nodiscard]] auto hasDraining() const -> bool { return m_draining > 0; }
    /// Returns whether an added upstream is not draining.
    [[nodiscard]] auto hasNonDraining() const -> bool { return m_added > m_draining; }

private:
    [[nodiscard]] auto isExcluded(const NodeId &node) const -> bool;
    [[nodiscard]] auto floorOf(const UpstreamView &view) const -> Level;
    [[nodiscard]] auto floorAge(const UpstreamView &view) const -> Duration;
    [[nodiscard]] auto tierOf(const UpstreamView &view, Level floor) const -> Tier;
    [[nodiscard]] auto admittedTierOf(const UpstreamView &view) const -> Tier;

    const RouteRequest &m_request;
    const RoutingSettings &m_settings;
    TimePoint m_now;
    const LoadEstimate &m_estimate;
    const PathFloorEstimate &m_pathFloor;
    std::array<std::vector<std::uint32_t>, TierCount> m_tiers;
    std::optional<Level> m_lowestFloor;
    std::size_t m_added = 0;
    std::size_t m_draining = 0;
};

} // namespace stairspur::routing
