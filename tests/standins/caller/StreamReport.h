#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <stairspur/core/Time.h>

namespace stairspur::standins {

/// What became of the calls of one stream.
class StreamReport
{
public:
    explicit StreamReport(std::uint32_t bucketMs)
        : m_bucketMs(bucketMs)
    {}

    std::uint64_t offered = 0;
    std::uint64_t onTime = 0;  ///< Whole, its own, within the timeout.
    std::uint64_t late = 0;    ///< Whole and its own, after the timeout.
    std::uint64_t wrong = 0;   ///< Not its own, not whole, or a refusal without a proper outcome.
    std::uint64_t missing = 0; ///< No answer at all.
    std::uint64_t lost = 0;    ///< No answer, from a target that the run took down on purpose.
    std::uint64_t retries = 0;
    std::map<std::string, std::uint64_t> refused; ///< By "outcome/reason".

    /// Counts a call that was due `sinceStart` after the start of the run.
    auto didOffer(Duration sinceStart) -> void
    {
        ++offered;
        ++bucket(m_offeredTimeline, sinceStart);
    }

    /// A whole answer in time, to a call that was due `sinceStart` after the start of the run.
    auto didAnswerOnTime(Duration sinceStart) -> void
    {
        ++onTime;
        ++bucket(m_onTimeTimeline, sinceStart);
    }

    /// `latency` since the call was due; `way` is what its attempt took beyond the work of the backend servers.
    auto addLatency(Duration latency, Duration way) -> void
    {
        m_latencies.push_back(latency.count());
        m_ways.push_back(way.count());
    }

    [[nodiscard]] auto hasFault() const -> bool { return wrong > 0 || missing > 0; }

    [[nodiscard]] auto toJson() const -> nlohmann::json
    {
        return {{"offered", offered},
                {"onTime", onTime},
                {"late", late},
                {"refused", refused},
                {"wrong", wrong},
                {"missing", missing},
                {"lost", lost},
                {"retries", retries},
                {"latencyUs", percentiles(m_latencies)},
                {"wayUs", percentiles(m_ways)},
                {"offeredTimeline", m_offeredTimeline},
                {"onTimeTimeline", m_onTimeTimeline}};
    }

private:
    auto bucket(std::vector<std::uint64_t> &timeline, Duration sinceStart) const -> std::uint64_t &
    {
        const auto index = static_cast<std::size_t>(toMilliseconds(sinceStart)) / m_bucketMs;
        if (timeline.size() <= index)
            timeline.resize(index + 1);
        return timeline[index];
    }

    static auto percentiles(std::vector<std::int64_t> samples) -> nlohmann::json
    {
        if (samples.empty())
            return nullptr;
        std::sort(samples.begin(), samples.end());
        const auto at = [&samples](double share) {
            return samples[static_cast<std::size_t>(share
                                                    * static_cast<double>(samples.size() - 1))];
        };
        return {{"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"max", samples.back()}};
    }

    std::uint32_t m_bucketMs;
    std::vector<std::int64_t> m_latencies; ///< Microseconds.
    std::vector<std::int64_t> m_ways;
    std::vector<std::uint64_t> m_offeredTimeline; ///< Calls by the bucket in which they were due.
    std::vector<std::uint64_t> m_onTimeTimeline;
};

} // namespace stairspur::standins
