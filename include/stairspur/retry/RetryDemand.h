#pragma once

#include <array>
#include <cstddef>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>

namespace stairspur::retry {

/// Measures the demand for retries by precedence and computes the lowest precedence that may retry.
///
/// While retries are scarce, each one used at a low precedence is missing at a high precedence a moment later, and most
/// of those used at low precedences are spent on requests that fail anyway. Retries are therefore reserved for the
/// precedences whose demand can be met in full.
class RetryDemand
{
public:
    /// Records that a call of this precedence needs a retry, whether or not it gets one.
    auto recordDemand(Level precedence) -> void;

    /// Updates the floor from the demand recorded since the last update, `elapsed` ago.
    ///
    /// `tokens`: tokens available now. `tokensPerSecond`: the rate at which tokens are added.
    auto updateFloor(Duration elapsed, double tokens, double tokensPerSecond) -> void;

    /// Returns the lowest precedence that may retry.
    [[nodiscard]] auto floor() const -> Level { return m_floor; }

private:
    static constexpr auto LevelCount = std::size_t{ClosedLevel.value};

    std::array<float, LevelCount> m_recentDemand{};    ///< Retries needed since the last update.
    std::array<float, LevelCount> m_demandPerSecond{}; ///< Smoothed rate of the demand.
    Level m_floor = LowestLevel;
    /// Whether the smoothed demand was reset and no call has needed a retry since.
    bool m_isIdle = true;
};

} // namespace stairspur::retry
