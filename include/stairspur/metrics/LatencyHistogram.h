#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/metrics/Counter.h>

namespace stairspur::metrics {

/// State of a histogram at one point in time, merged over all threads.
struct HistogramSnapshot
{
    /// Upper edges of the buckets, in ascending order. `above` counts the values beyond the last one.
    std::vector<Duration> upperEdges;
    std::vector<std::uint64_t> counts;
    std::uint64_t above = 0; ///< Number of values beyond the last edge.
    Duration sum{0};

    [[nodiscard]] auto total() const -> std::uint64_t;

    /// Returns an estimate of the `q` quantile (0..1; other values are clamped). It is interpolated on the logarithmic
    /// scale of its bucket, so that its error is less than one bucket (a factor of 1.26). Returns the last edge for
    /// values beyond it, and zero for an empty histogram.
    [[nodiscard]] auto quantile(double q) const -> Duration;
};

/// Histogram of latencies with exponential buckets: 10 buckets for each power of ten, from 10 us to 100 s. Any thread
/// may record values, without locks.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram(LatencyHistogram &&) = delete;
    auto operator=(const LatencyHistogram &) -> LatencyHistogram & = delete;
    auto operator=(LatencyHistogram &&) -> LatencyHistogram & = delete;

    /// Records one value. Values below the first bucket are counted in it.
    auto record(Duration value) -> void;

    [[nodiscard]] auto snapshot() const -> HistogramSnapshot;

private:
    class Buckets;
    std::unique_ptr<Buckets> m_buckets;
    Counter m_sum; ///< Sum of all values, in microseconds.
};

} // namespace stairspur::metrics
