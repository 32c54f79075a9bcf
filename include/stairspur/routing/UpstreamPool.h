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

/// The entry's choice of an upstream, and its view of what the gates told. Pure: time and randomness are handed in.
namespace stairspur::routing {

/// An upstream as membership knows it.
struct Upstream
{
    NodeId node;
    std::string domain;
    Incarnation incarnation = 0;
    std::uint32_t slots = 1;
    bool isDraining = false;
};

struct RoutingSettings
{
    NodeId ownNode;
    std::string ownDomain;
    /// Upstreams per entry and service that get links, besides the local one.
    std::uint32_t subsetSize = 16;
    Duration reportHalfLife{500'000}; ///< Age at which a report counts half.
    Duration slowStart{5'000'000};    ///< Time over which a new upstream comes to its full share.
    double maxEjectedShare = 0.34;    ///< Of the pool, rounded down; never the last one.
    Duration ejectionBase{1'000'000};
    double probeShare = 0.01; ///< Of the calls below a floor that are sent all the same.
    Duration retryAfterBase{100'000};
    Duration retryAfterMax{10'000'000};
};

struct RouteRequest
{
    Level level;
    TimePoint deadline;
    std::span<const NodeId> excluded; ///< Upstreams that refused or failed this very call.
    bool mayProbe = true; ///< Whether a call below the floor may be sent to learn whether it fell.
    PathKey path = NoPath;
    /// The call belongs to a request that already runs: no floor known here refuses it, its gate's queue decides.
    bool hasBegun = false;
};

enum class RouteReason {
    LessLoaded, ///< The better of two in the own failure domain.
    OnlyCandidate,
    Spilled, ///< To another failure domain: the own one refuses or waits too long.
    Probe,   ///< Below the floor, to learn whether it fell.
    ImportantBypass, ///< Every known floor is above the call, but lower levels may still be admitted somewhere.
    BegunWork, ///< Every known floor is above the call, but it belongs to a request that already runs.
    Refused,
};

struct RouteDecision
{
    std::optional<NodeId> node; ///< Empty: refuse.
    RouteReason choice = RouteReason::Refused;
    Reason refusal = Reason::None; ///< BelowFloor, NoUpstream or Draining when refused.
    Duration retryAfter{0};
    std::uint32_t candidates = 0;
    Level pathFloor; ///< Believed to hold below the service, on the request's path.
    std::optional<Duration> pathFloorAge{}; ///< Of the youngest report of it; empty: none came.
};

/// How an attempt ended, for the view of one upstream.
struct AttemptResult
{
    NodeId node;
    Outcome outcome = Outcome::Answered;
    Reason reason = Reason::None;
    Duration latency{0};
    std::optional<admission::LoadReport> report;
    /// Of the call: what the gate did with it outranks the floors it reports.
    std::optional<Level> level;
    PathKey path = NoPath;
};

/// One service's upstreams, as one entry sees them.
class UpstreamPool
{
public:
    UpstreamPool(std::string service, const RoutingSettings &settings);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool(UpstreamPool &&) noexcept;
    auto operator=(const UpstreamPool &) -> UpstreamPool & = delete;
    auto operator=(UpstreamPool &&) noexcept -> UpstreamPool &;

    /// The members of the service now. Known ones keep what was learnt of them; a greater incarnation starts anew.
    auto setUpstreams(std::span<const Upstream> upstreams, TimePoint now) -> void;

    auto choose(const RouteRequest &request, TimePoint now, Random &random) -> RouteDecision;

    /// Whether calls can be sent to `node`. One that cannot be reached is no candidate, and no reason to admit anything.
    auto setReachable(const NodeId &node, bool isReachable) -> void;

    /// An attempt goes to `node`.
    auto didSend(const NodeId &node, TimePoint now) -> void;

    /// The attempt ended; counts against didSend().
    auto didEnd(const AttemptResult &result, TimePoint now, Random &random) -> void;

    /// A report that came by itself, without an attempt of ours.
    auto didReport(const NodeId &node, const admission::LoadReport &report, TimePoint now) -> void;

    /// The lowest level that some reachable upstream admits, for a class and path: what deeper services tell upwards.
    [[nodiscard]] auto floorFor(FloorKey key, TimePoint now) const -> Level;

    /// How long a call takes that is answered, smoothed over the answers. Zero before the first one.
    [[nodiscard]] auto expectedLatency() const -> Duration;

    /// The upstreams that this entry keeps links to.
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
