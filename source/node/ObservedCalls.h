#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::node {

/// Which services this host's backend server calls for requests of each class, as far as its calls have shown. It stands
/// in for call paths where the configuration has none.
class ObservedCalls
{
public:
    /// The backend server made a call of class `rank` to `service`.
    auto didCall(ClassRank rank, const std::string &service, TimePoint now) -> void;

    /// The services that calls of class `rank` have gone to lately.
    [[nodiscard]] auto servicesFor(ClassRank rank, TimePoint now) const
            -> std::vector<std::string>;

private:
    /// Long enough for a class that is refused for a while to be remembered, short enough for a new version of the
    /// backend server to be learnt.
    static constexpr auto Memory = Duration{60'000'000};

    std::array<std::map<std::string, TimePoint>, std::size_t{MaxClassRank} + 1> m_lastCalls;
};

} // namespace stairspur::node
