#include "RefusalDelay.h"

#include <algorithm>
#include <cmath>

namespace stairspur::routing {

/// Delay without any upstream, as a multiple of the base delay.
static constexpr auto NoUpstreamFactor = 10.0;
/// Minimum random factor of a delay. The maximum is greater by 1.
static constexpr auto MinJitter = 0.5;

static auto jittered(double delay, const RoutingSettings &settings, Random &random) -> Duration
{
    const auto maxDelay = static_cast<double>(settings.retryAfterMax.count());
    const auto jitteredDelay = std::min(delay, maxDelay) * (MinJitter + randomUnit(random));
    return Duration{
            static_cast<Duration::rep>(std::clamp(jitteredDelay, 1.0, std::max(1.0, maxDelay)))};
}

auto floorDelay(Level level, Level floor, const RoutingSettings &settings, Random &random)
        -> Duration
{
    const auto above = floor > level ? floor.value - level.value : 0;
    const auto classesAbove = static_cast<double>(above) / HashesPerClass;
    const auto base = static_cast<double>(settings.retryAfterBase.count());
    return jittered(base * std::exp2(classesAbove), settings, random);
}

auto noUpstreamDelay(const RoutingSettings &settings, Random &random) -> Duration
{
    const auto base = static_cast<double>(settings.retryAfterBase.count());
    return jittered(base * NoUpstreamFactor, settings, random);
}

} // namespace stairspur::routing
