#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Level.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

/// The entry's choice of an upstream for each call, from the load and the floors that the gates report.
/// The module has no clock and no random source of its own: its callers pass both. Times are in microseconds.
/// A refusal is returned with its Reason.
namespace stairspur::routing {

/// One upstream, as the membership table describes it.
struct Upstream
{
    NodeId node;
    std::string domain;
    Incarnation incarnation = 0;
    std::uint32_t slots = 1; ///< Maximum number of calls that run at once.
    bool isDraining = false;
};

/// Settings of routing in one entry.
struct RoutingSettings
{
    NodeId ownNode;
    std::string ownDomain;
    /// Number of upstreams per entry and service that get links, besides the local one.
    std::uint32_t subsetSize = 16;
    Duration reportHalfLife{500'000}; ///< Age at which a report has half its weight.
    Duration slowStart{
            5'000'000}; ///< Time over which a new upstream's share of the calls grows to its full value.
    double maxEjectedShare =
            0.34; ///< Share of the pool that may be ejected, rounded down; never the last one.
    Duration ejectionBase{1'000'000}; ///< Length of the first ejection.
    double probeShare = 0.01;         ///< Share of the calls below a floor that are sent as probes.
    Duration retryAfterBase{100'000}; ///< Retry delay before it grows with the floor.
    Duration retryAfterMax{10'000'000}; ///< Longest retry delay.
};

/// One call that needs an upstream.
struct RouteRequest
{
    Level level;
    TimePoint deadline;
    std::span<const NodeId> excluded; ///< Upstreams that have refused or failed this call.
    bool mayProbe = true; ///< Whether the call may be sent as a probe when it is below the floor.
    PathKey path = NoPath;
    /// Whether a running call makes this call. The entry's cached floors don't refuse such a call; the queue of its gate
    /// decides.
    bool isDeeperCall = false;
};

/// Why an upstream was chosen or the call was refused.
enum class RouteReason {
    LessLoaded,    ///< The less loaded of two upstreams in the own failure domain.
    OnlyCandidate, ///< The only candidate in the own failure domain.
    Spilled, ///< In another failure domain: the own one refuses the call or its wait is too long.
    Probe,   ///< The call is below the floor and checks whether the floor has dropped.
    ImportantBypass, ///< Every cached floor is above the call, but one is too old to refuse a call of its class.
    DeeperCall, ///< Every cached floor is above the call, but a running call makes it.
    Refused,    ///< The call is refused.
};

/// The outcome of UpstreamPool::choose().
struct RouteDecision
{
    std::optional<NodeId> node; ///< The chosen upstream; empty when the call is refused.
    RouteReason choice = RouteReason::Refused;
    Reason refusal = Reason::None; ///< BelowFloor, NoUpstream or Draining if the call is refused.
    Duration retryAfter{0};        ///< Delay after which a refused call may be retried.
    std::uint32_t candidates = 0;  ///< Number of upstreams among which the choice was made.
    Level pathFloor; ///< Estimated floor of the services below this one, on the request's path.
    std::optional<Duration>
            pathFloorAge{}; ///< Age of the latest report of it; empty without any report.
};

/// The outcome of one attempt at an upstream.
struct AttemptResult
{
    NodeId node;
    Outcome outcome = Outcome::Answered;
    Reason reason = Reason::None;
    Duration latency{0};
    std::optional<admission::LoadReport> report;
    /// Level of the call. The gate's handling of the call takes precedence over the floors that it reports.
    std::optional<Level> level;
    PathKey path = NoPath;
};

/// The upstreams of one service, with the state that one entry records of each.
class UpstreamPool
{
public:
    UpstreamPool(std::string service, const RoutingSettings &settings);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool(UpstreamPool &&) noexcept;
    auto operator=(const UpstreamPool &) -> UpstreamPool & = delete;
    auto operator=(UpstreamPool &&) noexcept -> UpstreamPool &;

    /// Sets the current members of the service. Upstreams that were members before keep their recorded state; the state
    /// is reset when the incarnation is greater than before.
    auto setUpstreams(std::span<const Upstream> upstreams, TimePoint now) -> void;

    /// Chooses an upstream for a call, or refuses the call with a reason and a retry delay.
    auto choose(const RouteRequest &request, TimePoint now, Random &random) -> RouteDecision;

    /// Sets whether calls can be sent to `node`. An unreachable upstream is no candidate, and its floor is left out of
    /// floorFor().
    auto setReachable(const NodeId &node, bool isReachable) -> void;

    /// Records that an attempt is sent to `node`.
    auto didSend(const NodeId &node, TimePoint now) -> void;

    /// Records the outcome of an attempt. Each didEnd() matches one didSend().
    auto didEnd(const AttemptResult &result, TimePoint now, Random &random) -> void;

    /// Records a report that was received outside an attempt of this entry.
    auto didReceiveReport(const NodeId &node, const admission::LoadReport &report, TimePoint now)
            -> void;

    /// Returns the lowest level that a reachable upstream is expected to admit, for a class and path. Services report it
    /// to their own callers. Returns ClosedLevel when no upstream is usable.
    [[nodiscard]] auto floorFor(FloorKey key, TimePoint now) const -> Level;

    /// Returns the smoothed latency of answered calls, or zero before the first answer.
    [[nodiscard]] auto expectedLatency() const -> Duration;

    /// Returns what the backend server of `node` states about itself, as last reported; an empty statement if nothing is
    /// known.
    [[nodiscard]] auto statementOf(const NodeId &node) const -> admission::InstanceStatement;

    /// Returns the upstreams that this entry keeps links to.
    [[nodiscard]] auto subset() const -> std::vector<NodeId>;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace stairspur::routing

template <>
inline constexpr auto stairspur::enumNames<stairspur::routing::RouteReason> =
        std::array<std::string_view, 7>{"less-loaded",      "only-candidate", "spilled", "probe",
                                        "important-bypass", "begun-work",     "refused"};
