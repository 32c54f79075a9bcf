#pragma once

#include <algorithm>
#include <cstdint>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

namespace stairspur::store {

/// Exponential backoff with full jitter: the n-th wait is drawn evenly from the upper half of base * 2^n, up to a
/// maximum, so that hosts that failed together do not come back together.
class Backoff
{
public:
    Backoff(Duration base, Duration maximum)
        : m_base(base)
        , m_maximum(maximum)
    {}

    auto next(Random &random) -> Duration
    {
        const auto ceiling = std::min(m_maximum, m_base * (std::int64_t{1} << m_failures));
        m_failures = std::min(m_failures + 1, MaxDoublings);
        const auto half = ceiling.count() / 2;
        return Duration{
                half + static_cast<std::int64_t>(randomUnit(random) * static_cast<double>(half))};
    }

    auto reset() -> void { m_failures = 0; }

private:
    static constexpr auto MaxDoublings = std::uint32_t{20};

    Duration m_base;
    Duration m_maximum;
    std::uint32_t m_failures = 0;
};

} // namespace stairspur::store
