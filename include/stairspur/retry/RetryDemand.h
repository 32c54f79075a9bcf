#pragma once

#include <array>
#include <cstddef>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::retry {

/// Who wants retries, by precedence, and from which precedence on they can be had.
///
/// When retries are short, those that the lowest take are lost for the highest a moment later, and most of them are spent on
/// requests that fail all the same. So they are kept for the precedences whose wants can all be met.
class RetryDemand
{
public:
    /// A call of this precedence wants a retry, whether it gets one or not.
    auto didWant(Level precedence) -> void;

    /// Judges anew, `elapsed` after the last time: `tokens` are there, and `tokensPerSecond` come.
    auto didPassTime(Duration elapsed, double tokens, double tokensPerSecond) -> void;

    /// The lowest precedence that may have a retry.
    [[nodiscard]] auto floor() const -> Level { return m_floor; }

private:
    static constexpr auto LevelCount = std::size_t{ClosedLevel.value};

    std::array<float, LevelCount> m_wants{};     ///< Since the last judgement.
    std::array<float, LevelCount> m_perSecond{}; ///< Smoothed.
    Level m_floor = LowestLevel;
    /// Nobody has wanted anything for so long that nothing is left to smooth.
    bool m_isIdle = true;
};

} // namespace stairspur::retry
