#include <stairspur/retry/RetryDemand.h>

#include <algorithm>
#include <cmath>

namespace stairspur::retry {

/// Over which wants are smoothed: 25 judgements, so that the floor does not follow single calls. Played with 0.1 to 1 s the
/// share of served requests differs by less than 0.05.
static constexpr auto Memory = Duration{500'000};
/// What is there at the moment is laid out over this time.
static constexpr auto Horizon = Duration{250'000};
/// Tokens of this time are kept in hand: whoever is high enough never meets an empty bucket.
static constexpr auto ReserveTime = Duration{250'000};
/// Below this many wants a second in all the past is forgotten.
static constexpr auto LeastDemand = 0.01;

static auto seconds(Duration time) -> double
{
    return static_cast<double>(time.count()) / 1e6;
}

auto RetryDemand::didWant(Level precedence) -> void
{
    m_wants[std::min<std::size_t>(precedence.value, LevelCount - 1)] += 1.0F;
    m_isIdle = false;
}

auto RetryDemand::didPassTime(Duration elapsed, double tokens, double tokensPerSecond) -> void
{
    if (m_isIdle || elapsed <= Duration::zero())
        return;
    const auto weight = static_cast<float>(1.0 - std::exp(-seconds(elapsed) / seconds(Memory)));
    const auto length = static_cast<float>(seconds(elapsed));
    const auto reserve = tokensPerSecond * seconds(ReserveTime);
    const auto affordable = tokensPerSecond + (tokens - reserve) / seconds(Horizon);
    auto demand = 0.0;
    auto floor = LevelCount;
    for (auto level = LevelCount; level-- > 0;) {
        auto &perSecond = m_perSecond[level];
        perSecond += (m_wants[level] / length - perSecond) * weight;
        demand += static_cast<double>(perSecond);
        if (demand <= affordable)
            floor = level;
    }
    m_wants.fill(0);
    // Whoever is the highest is never shut out: there is a token for it sooner or later.
    m_floor = Level{static_cast<std::uint16_t>(std::min(floor, LevelCount - 1))};
    m_isIdle = demand < LeastDemand;
    if (m_isIdle) {
        m_perSecond.fill(0);
        m_floor = LowestLevel;
    }
}

} // namespace stairspur::retry
