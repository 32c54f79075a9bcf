#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <stairspur/core/Time.h>
#include <stairspur/metrics/Counter.h>

namespace stairspur::metrics {

/// A histogram at one moment, merged over all threads.
struct HistogramSnapshot
{
    /// Of the buckets, rising. Above the last one stands `above`.
    std::vector<Duration> upperEdges;
    std::vector<std::uint64_t> counts;
    std::uint64_t above = 0; ///< Values beyond the last edge.
    Duration sum{0};

    [[nodiscard]] auto total() const -> std::uint64_t;

    /// Estimate of the value below which a share `q` (0..1) of all values lies, interpolated on the
    /// logarithmic scale of its bucket, so that it is less than a bucket (a factor of 1.26) off.
    /// The last edge for values beyond it, zero for an empty histogram.
    [[nodiscard]] auto quantile(double q) const -> Duration;
};

/// Latencies in buckets that grow by a constant factor: 10 for each power of ten, from 10 us to
/// 100 s. Any thread may record, without locks.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram(LatencyHistogram &&) = delete;
    auto operator=(const LatencyHistogram &) -> LatencyHistogram & = delete;
    auto operator=(LatencyHistogram &&) -> LatencyHistogram & = delete;

    /// Counts one value; one below the first bucket counts in it.
    auto record(Duration value) -> void;

    [[nodiscard]] auto snapshot() const -> HistogramSnapshot;

private:
    class Buckets;
    std::unique_ptr<Buckets> m_buckets;
    Counter m_sum; ///< Microseconds.
};

} // namespace stairspur::metrics
