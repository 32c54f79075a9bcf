#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::node {

/// A kind of call that a backend server makes for requests of a path.
struct DeeperCall
{
    std::string service;
    PathKey path = NoPath; ///< Path of the call itself, at its service.

    auto operator<=>(const DeeperCall &) const = default;
};

/// Records which services this host's backend server calls for requests of each path, and how often. It replaces call paths
/// where the configuration has none.
class ObservedCalls
{
public:
    /// Records that the backend server made `call` while it ran a request of the class and path `of`. `ordinal` is the number
    /// of the call among those of its kind that this request made.
    auto didCall(FloorKey of, const DeeperCall &call, std::uint32_t ordinal, TimePoint now) -> void;

    /// Returns the number of calls like `call` that a request of `path` makes: the maximum of recent requests, or 1 if none was
    /// observed. The mean is not used because it decreases when requests fail half way.
    [[nodiscard]] auto callsPerRequest(PathKey path, const DeeperCall &call) const -> std::uint32_t;

    /// The calls that were observed for one path.
    struct Path
    {
        PathKey path = NoPath;
        std::vector<DeeperCall> calls;
    };

    /// Returns the paths with recent calls, and these calls.
    [[nodiscard]] auto paths(TimePoint now) const -> std::vector<Path>;

    /// Returns the rank of the least important class of all observed requests. Its floors apply to all of them.
    [[nodiscard]] auto leastImportantRank() const -> ClassRank { return m_leastImportantRank; }

private:
    /// Time for which a call is kept. It is long enough for the calls of a path that is refused for a while, and short enough
    /// to follow a new version of the backend server.
    static constexpr auto RetentionTime = Duration{60'000'000};

    struct Observation
    {
        TimePoint lastCall{};
        std::uint32_t maxCalls = 0; ///< Maximum number that one request made.
        TimePoint maxSeenAt{};
    };

    std::unordered_map<PathKey, std::map<DeeperCall, Observation>> m_observations;
    ClassRank m_leastImportantRank = 0;
};

} // namespace stairspur::node
