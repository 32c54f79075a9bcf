#include "RefusalDelay.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

static constexpr auto AbsenceFactor = 10.0;
static constexpr auto LeastSpread = 0.5;

static auto spread(double delay, const RoutingSettings &settings, Random &random) -> Duration
{
    const auto most = static_cast<double>(settings.retryAfterMax.count());
    const auto spreadDelay = std::min(delay, most) * (LeastSpread + randomUnit(random));
    return Duration{static_cast<Duration::rep>(std::clamp(spreadDelay, 1.0, std::max(1.0, most)))};
}

auto floorDelay(Level level, Level floor, const RoutingSettings &settings, Random &random)
        -> Duration
{
    const auto above = floor > level ? floor.value - level.value : 0;
    const auto classesAbove = static_cast<double>(above) / HashesPerClass;
    const auto base = static_cast<double>(settings.retryAfterBase.count());
    return spread(base * std::exp2(classesAbove), settings, random);
}

auto absenceDelay(const RoutingSettings &settings, Random &random) -> Duration
{
    const auto base = static_cast<double>(settings.retryAfterBase.count());
    return spread(base * AbsenceFactor, settings, random);
}

} // namespace stairspur::routing
