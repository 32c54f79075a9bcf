#pragma once

#include <algorithm>
#include <cstdint>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

namespace stairspur::store {

/// Exponential backoff with jitter. The n-th wait is drawn uniformly from the upper half of base * 2^n, with base * 2^n
/// limited to a maximum. The jitter spreads the retries of hosts that failed at the same time.
class Backoff
{
public:
    Backoff(Duration base, Duration maximum)
        : m_base(base)
        , m_maximum(maximum)
    {}

    /// Returns the next wait.
    auto next(Random &random) -> Duration
    {
        const auto ceiling = std::min(m_maximum, m_base * (std::int64_t{1} << m_failures));
        m_failures = std::min(m_failures + 1, MaxDoublings);
        const auto half = ceiling.count() / 2;
        return Duration{
                half + static_cast<std::int64_t>(randomUnit(random) * static_cast<double>(half))};
    }

    /// Returns to the shortest wait, after a success.
    auto reset() -> void { m_failures = 0; }

private:
    static constexpr auto MaxDoublings = std::uint32_t{20};

    Duration m_base;
    Duration m_maximum;
    std::uint32_t m_failures = 0;
};

} // namespace stairspur::store
