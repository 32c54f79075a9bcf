#include <stairspur/retry/RetryDemand.h>

#include <algorithm>
#include <cmath>

namespace stairspur::retry {

/// Time over which the demand is smoothed: 25 updates, so that the floor does not follow single calls. From 0.1 to 1 s
/// the share of served requests differs by less than 0.05.
static constexpr auto SmoothingTime = Duration{500'000};
/// Time over which the available tokens may be spent.
static constexpr auto SpendingTime = Duration{250'000};
/// Tokens that are added within this time are kept in reserve, so that calls of a high precedence never find the
/// bucket empty.
static constexpr auto ReserveTime = Duration{250'000};
/// Total demand, in retries per second, below which the smoothed demand is reset.
static constexpr auto MinDemand = 0.01;

static auto seconds(Duration time) -> double
{
    return static_cast<double>(time.count()) / 1e6;
}

auto RetryDemand::recordDemand(Level precedence) -> void
{
    m_recentDemand[std::min<std::size_t>(precedence.value, LevelCount - 1)] += 1.0F;
    m_isIdle = false;
}

auto RetryDemand::updateFloor(Duration elapsed, double tokens, double tokensPerSecond) -> void
{
    if (m_isIdle || elapsed <= Duration::zero())
        return;
    const auto weight =
            static_cast<float>(1.0 - std::exp(-seconds(elapsed) / seconds(SmoothingTime)));
    const auto length = static_cast<float>(seconds(elapsed));
    const auto reserve = tokensPerSecond * seconds(ReserveTime);
    const auto affordable = tokensPerSecond + (tokens - reserve) / seconds(SpendingTime);
    auto demand = 0.0;
    auto floor = LevelCount;
    for (auto level = LevelCount; level-- > 0;) {
        auto &perSecond = m_demandPerSecond[level];
        perSecond += (m_recentDemand[level] / length - perSecond) * weight;
        demand += static_cast<double>(perSecond);
        if (demand <= affordable)
            floor = level;
    }
    m_recentDemand.fill(0);
    // The highest precedence may always retry, since a token for it is added sooner or later.
    m_floor = Level{static_cast<std::uint16_t>(std::min(floor, LevelCount - 1))};
    m_isIdle = demand < MinDemand;
    if (m_isIdle) {
        m_demandPerSecond.fill(0);
        m_floor = LowestLevel;
    }
}

} // namespace stairspur::retry
