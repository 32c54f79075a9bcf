#pragma once

#include <cstdint>

#include <stairspur/core/Time.h>

#include "OutcomeView.h"

namespace stairspur::routing {

/// Decides when one upstream is ejected because its calls fail, and for how long.
class OutlierEjection
{
public:
    /// Returns whether the upstream is ejected at `now`.
    [[nodiscard]] auto isEjected(TimePoint now) const -> bool { return now < m_until; }

    /// Returns whether the outcomes are those of an outlier in a pool whose success rate is `poolSuccessRate`.
    [[nodiscard]] static auto isOutlier(const OutcomeView &outcomes, double poolSuccessRate,
                                        TimePoint now, Duration recovery) -> bool;

    /// Returns how many of `upstreams` may be ejected at the same time: the share `maxShare`, rounded down, and never all.
    [[nodiscard]] static auto maxEjected(std::size_t upstreams, double maxShare) -> std::size_t;

    /// Ejects the upstream for `base`. The length doubles with each ejection that follows soon after the last one, up to a
    /// bound.
    auto eject(TimePoint now, Duration base) -> void;

    /// Returns when the last ejection ends or ended.
    [[nodiscard]] auto until() const -> TimePoint { return m_until; }

private:
    TimePoint m_until{};
    std::uint32_t m_consecutiveEjections = 0;
};

} // namespace stairspur::routing
