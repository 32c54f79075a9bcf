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

/// Why an upstream may be chosen for a call, the best first.
enum class Tier {
    OwnDomain,     ///< Admits the call and waits for a small part of what is left.
    OtherDomain,   ///< The same, in another failure domain.
    OwnDomainLate, ///< Waits longer, but within what is left.
    OtherDomainLate,
    WidenedOwn, ///< Outside the subset, own failure domain.
    WidenedOther,
    TooLate,    ///< Admits the call, but by its reports cannot answer in time: only the gate knows.
    OldFloor,   ///< The floor is above the call, but the view is too old to refuse by.
    BelowFloor, ///< The floor is above the call, and the view is fresh.
};

inline constexpr std::size_t TierCount = 9;

/// How old a floor may be to refuse a call of class `rank` without asking the gate: the more
/// important the class, the younger. Each gate is asked about once in this time by each entry,
/// however many calls stand below its floor.
auto maxFloorAge(ClassRank rank, Duration halfLife) -> Duration;

/// The upstreams that a call may go to, by tier.
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

    /// Puts an upstream into its tier, or counts why it is none.
    auto add(const UpstreamView &view, std::size_t index) -> void;

    [[nodiscard]] auto members(Tier tier) const -> const std::vector<std::uint32_t> &
    {
        return m_tiers[static_cast<std::size_t>(tier)];
    }

    /// The best tier that has members; BelowFloor is not among them.
    [[nodiscard]] auto best() const -> std::optional<Tier>;

    /// Whether a call can be placed in the subset, in time.
    [[nodiscard]] auto hasTimely() const -> bool;

    /// The lowest floor that stands above the call, those that refused it already included.
    [[nodiscard]] auto lowestFloor() const -> std::optional<Level> { return m_lowestFloor; }

    [[nodiscard]] auto hasDraining() const -> bool { return m_draining > 0; }
    [[nodiscard]] auto hasOtherThanDraining() const -> bool { return m_seen > m_draining; }

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
    std::size_t m_seen = 0;
    std::size_t m_draining = 0;
};

} // namespace stairspur::routing
