#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::node {

/// A call that a backend server makes for requests of some path.
struct DeeperCall
{
    std::string service;
    PathKey path = NoPath; ///< Of the call itself, at the service that it goes to.

    auto operator<=>(const DeeperCall &) const = default;
};

/// Which services this host's backend server calls for requests of each path, and how often, as far as its calls have shown.
/// It stands in for call paths where the configuration has none.
class ObservedCalls
{
public:
    /// While it ran a request of class `rank` and `path`, the backend server made `call`, which is the `ordinal`-th of its
    /// kind that this request made.
    auto didCall(FloorKey of, const DeeperCall &call, std::uint32_t ordinal, TimePoint now) -> void;

    /// How many calls like `call` a request of `path` makes: the most that one has made lately. The mean would shrink just
    /// when requests fail half way. 1 where nothing is known.
    [[nodiscard]] auto callsPerRequest(PathKey path, const DeeperCall &call) const -> std::uint32_t;

    /// What was called for one path, and for which classes.
    struct Path
    {
        PathKey path = NoPath;
        std::vector<DeeperCall> calls;
    };

    /// The paths that have made calls lately, with these calls.
    [[nodiscard]] auto paths(TimePoint now) const -> std::vector<Path>;

    /// The least important class that has made calls lately: its floors hold for all that are observed.
    [[nodiscard]] auto leastImportantRank() const -> ClassRank { return m_leastImportantRank; }

private:
    /// Long enough for a path that is refused for a while to be remembered, short enough for a new version of the
    /// backend server to be learnt.
    static constexpr auto Memory = Duration{60'000'000};

    struct Seen
    {
        TimePoint lastCall{};
        std::uint32_t mostCalls = 0; ///< That one request made.
        TimePoint mostSeenAt{};
    };

    std::unordered_map<PathKey, std::map<DeeperCall, Seen>> m_seen;
    ClassRank m_leastImportantRank = 0;
};

} // namespace stairspur::node
