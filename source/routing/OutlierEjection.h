#pragma once

#include <cstdint>

#include <stairspur/core/Time.h>

#include "OutcomeView.h"

namespace stairspur::routing {

/// When one upstream is left out because its calls fail, and for how long.
class OutlierEjection
{
public:
    [[nodiscard]] auto isEjected(TimePoint now) const -> bool { return now < m_until; }

    /// Whether the outcomes are those of an outlier beside a pool whose success rate is `poolRate`.
    [[nodiscard]] static auto isOutlier(const OutcomeView &outcomes, double poolRate, TimePoint now,
                                        Duration recovery) -> bool;

    /// How many of `upstreams` may be ejected at a time: a share, rounded down, and never all.
    [[nodiscard]] static auto maxEjected(std::size_t upstreams, double maxShare) -> std::size_t;

    /// Leaves the upstream out for `base`, twice as long with each ejection soon after the last, up to a bound.
    auto eject(TimePoint now, Duration base) -> void;

    /// When the last ejection ends or ended.
    [[nodiscard]] auto until() const -> TimePoint { return m_until; }

private:
    TimePoint m_until{};
    std::uint32_t m_inARow = 0;
};

} // namespace stairspur::routing
