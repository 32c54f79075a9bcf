#include <stairspur/metrics/LatencyHistogram.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace stairspur::metrics {

namespace {

namespace histogram = boost::histogram;

constexpr auto BucketsPerDecade = 10;
constexpr auto Decades = 7;
constexpr auto MinMicroseconds = 10.0;
constexpr auto MaxMicroseconds = 100'000'000.0;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using AtomicCount = histogram::accumulators::count<std::uint64_t, true>;
using Storage = histogram::dense_storage<AtomicCount>;
using Histogram = histogram::histogram<std::tuple<Axis>, Storage>;

auto makeBuckets() -> Histogram
{
    return histogram::make_histogram_with(
            Storage(), Axis(BucketsPerDecade * Decades, MinMicroseconds, MaxMicroseconds));
}

} // namespace

/// Buckets with atomic counters and an axis of fixed size, so that recording needs no lock.
class LatencyHistogram::Buckets
{
public:
    Histogram histogram = makeBuckets();
};

LatencyHistogram::LatencyHistogram()
    : m_buckets(std::make_unique<Buckets>())
{}

LatencyHistogram::~LatencyHistogram() = default;

auto LatencyHistogram::record(Duration value) -> void
{
    const auto clamped = std::max(value, Duration::zero());
    m_buckets->histogram(std::max(MinMicroseconds, static_cast<double>(clamped.count())));
    m_sum.increment(static_cast<std::uint64_t>(clamped.count()));
}

auto LatencyHistogram::snapshot() const -> HistogramSnapshot
{
    auto snapshot = HistogramSnapshot();
    const auto &histogram = m_buckets->histogram;
    const auto &axis = histogram.axis();
    for (auto index = 0; index < axis.size(); ++index) {
        const auto edge = std::llround(axis.bin(index).upper());
        snapshot.upperEdges.emplace_back(edge);
        snapshot.counts.push_back(histogram.at(index).value());
    }
    snapshot.above = histogram.at(axis.size()).value();
    snapshot.sum = Duration{static_cast<Duration::rep>(m_sum.value())};
    return snapshot;
}

auto HistogramSnapshot::total() const -> std::uint64_t
{
    return std::accumulate(counts.begin(), counts.end(), above);
}

auto HistogramSnapshot::quantile(double q) const -> Duration
{
    const auto targetCount = std::clamp(q, 0.0, 1.0) * static_cast<double>(total());
    if (upperEdges.empty() || total() == 0)
        return Duration::zero();
    auto cumulative = 0.0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const auto n = static_cast<double>(counts[index]);
        if (n == 0 || cumulative + n < targetCount) {
            cumulative += n;
            continue;
        }
        const auto upper = static_cast<double>(upperEdges[index].count());
        const auto lower =
                index == 0 ? MinMicroseconds : static_cast<double>(upperEdges[index - 1].count());
        return Duration{
                std::llround(lower * std::pow(upper / lower, (targetCount - cumulative) / n))};
    }
    return upperEdges.back();
}

} // namespace stairspur::metrics
