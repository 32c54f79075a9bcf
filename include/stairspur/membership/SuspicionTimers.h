#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/MembershipSettings.h>

namespace stairspur::membership {

/// Returns how long a suspect has to refute. The time grows with the logarithm of the members, as does the time to
/// reach all of them (SWIM, section 4.2).
inline auto suspicionTimeout(const MembershipSettings &settings, std::size_t members) -> Duration
{
    const auto scale = std::max(1.0, std::log10(static_cast<double>(members) + 1));
    const auto period = static_cast<double>(settings.period.count());
    return Duration(static_cast<Duration::rep>(settings.suspicionMultiplier * scale * period));
}

/// The deadlines at which suspected members are declared dead.
class SuspicionTimers
{
public:
    auto start(const NodeId &node, TimePoint deadline) -> void { m_deadlines[node] = deadline; }
    auto stop(const NodeId &node) -> void { m_deadlines.erase(node); }

    /// Extends every deadline by `gap`, in which this process did not run and could not receive refutations.
    auto extend(Duration gap) -> void
    {
        for (auto &[node, deadline] : m_deadlines)
            deadline += gap;
    }

    /// Removes and returns the members whose deadline has passed.
    auto takeExpired(TimePoint now) -> std::vector<NodeId>
    {
        auto expired = std::vector<NodeId>();
        for (const auto &[node, deadline] : m_deadlines) {
            if (deadline <= now)
                expired.push_back(node);
        }
        for (const auto &it : expired)
            m_deadlines.erase(it);
        return expired;
    }

private:
    std::map<NodeId, TimePoint> m_deadlines;
};

} // namespace stairspur::membership
