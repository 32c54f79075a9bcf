#include "CandidateTiers.h"

#include <algorithm>

namespace stairspur::routing {

/// A call is sent to another failure domain when its expected wait in its own one is more than this fraction of the time
/// that remains until its deadline.
static constexpr auto ShortWaitDivisor = 4;

/// From this class rank on, a cached floor refuses calls for a full half-life.
static constexpr auto FullHalfLifeRank = 9;

auto maxFloorAge(ClassRank rank, Duration halfLife) -> Duration
{
    const auto tenths = std::min<int>(rank, FullHalfLifeRank) + 1;
    return halfLife * tenths / (FullHalfLifeRank + 1);
}

auto CandidateTiers::add(const UpstreamView &view, std::size_t index) -> void
{
    ++m_added;
    if (view.isDraining(m_now, m_settings.reportHalfLife)) {
        ++m_draining;
        return;
    }
    if (view.isEjected(m_now) || !view.isReachable())
        return;
    const auto floor = floorOf(view);
    if (floor > m_request.level)
        m_lowestFloor = std::min(m_lowestFloor.value_or(floor), floor);
    if (isExcluded(view.upstream().node))
        return;
    const auto tier = static_cast<std::size_t>(tierOf(view, floor));
    m_tiers[tier].push_back(static_cast<std::uint32_t>(index));
}

auto CandidateTiers::isExcluded(const NodeId &node) const -> bool
{
    return std::find(m_request.excluded.begin(), m_request.excluded.end(), node)
           != m_request.excluded.end();
}

auto CandidateTiers::floorOf(const UpstreamView &view) const -> Level
{
    const auto key = FloorKey(m_request.level.rank(), m_request.path);
    const auto own = view.floors().ownFloorFor(key, m_now, m_settings.reportHalfLife);
    if (key.path == NoPath)
        return own;
    const auto proven = view.floors().provenLevel(key.path, m_now, m_settings.reportHalfLife);
    return std::max(own, std::min(m_pathFloor.floorOf(view), proven));
}

/// Returns the age of the floor that is above the call. A path floor is as old as the latest report from any upstream.
auto CandidateTiers::floorAge(const UpstreamView &view) const -> Duration
{
    const auto ofView = view.floors().age({m_request.level.rank(), m_request.path}, m_now);
    const auto ofPath = m_pathFloor.age();
    const auto isBelowPathFloor =
            m_request.path != NoPath && ofPath && m_pathFloor.floorOf(view) > m_request.level;
    return isBelowPathFloor ? std::min(ofView, *ofPath) : ofView;
}

auto CandidateTiers::tierOf(const UpstreamView &view, Level floor) const -> Tier
{
    if (floor <= m_request.level)
        return admittedTierOf(view);
    if (floorAge(view) <= maxFloorAge(m_request.level.rank(), m_settings.reportHalfLife))
        return Tier::BelowFloor;
    return Tier::StaleFloor;
}

auto CandidateTiers::admittedTierOf(const UpstreamView &view) const -> Tier
{
    const auto isOwnDomain = view.upstream().domain == m_settings.ownDomain;
    const auto remaining = m_request.deadline - m_now;
    const auto expected = m_estimate.expectedTime(view);
    if (expected > remaining && !view.isLatencyUnconfirmed(m_now, m_settings.reportHalfLife))
        return Tier::TooLate;
    if (!view.isInSubset())
        return isOwnDomain ? Tier::OwnDomainOutsideSubset : Tier::OtherDomainOutsideSubset;
    const auto wait = expected - view.outcomes().minLatency();
    // A call that was refused elsewhere needs a place at once; a server with a rate limit may have no token left.
    const auto isUncertain =
            view.statement().statement.rateLimit.has_value() && !m_request.excluded.empty();
    if (wait <= remaining / ShortWaitDivisor && !isUncertain)
        return isOwnDomain ? Tier::OwnDomain : Tier::OtherDomain;
    return isOwnDomain ? Tier::OwnDomainLate : Tier::OtherDomainLate;
}

auto CandidateTiers::best() const -> std::optional<Tier>
{
    for (std::size_t tier = 0; tier < static_cast<std::size_t>(Tier::BelowFloor); ++tier) {
        if (!m_tiers[tier].empty())
            return static_cast<Tier>(tier);
    }
    return std::nullopt;
}

auto CandidateTiers::hasTimelyInSubset() const -> bool
{
    const auto tier = best();
    return tier && *tier <= Tier::OtherDomainLate;
}

} // namespace stairspur::routing
