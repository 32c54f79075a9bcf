#pragma once

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Error.h>
#include <stairspur/metrics/Counter.h>
#include <stairspur/metrics/Gauge.h>
#include <stairspur/metrics/LatencyHistogram.h>

/// What a node counts about itself, for Prometheus to read.
namespace stairspur::metrics {

/// A metric's name, type or label that cannot be shown, or that was registered otherwise before.
class MetricError : public Error
{
public:
    using Error::Error;
};

struct Label
{
    std::string name;
    std::string value;

    auto operator<=>(const Label &) const = default;
};

using Labels = std::vector<Label>;

/// What a metric is called, and what it tells: "stairspur_entry_refusals_total", "Calls that ...".
struct MetricText
{
    std::string name;
    std::string help;
};

/// All metrics of a process. Finding one takes a lock: find it once and keep the reference, which
/// lives as long as the registry. Recording takes none.
class Registry
{
public:
    /// The metric with these labels, made at the first call. Throws MetricError when a name or
    /// label is malformed, or the name stands for another type.
    auto counter(const MetricText &text, const Labels &labels = {}) -> Counter &;
    auto gauge(const MetricText &text, const Labels &labels = {}) -> Gauge &;
    auto histogram(const MetricText &text, const Labels &labels = {}) -> LatencyHistogram &;

    /// Everything in the Prometheus text exposition format, version 0.0.4; latencies in seconds.
    [[nodiscard]] auto renderPrometheus() const -> std::string;

private:
    using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                                std::unique_ptr<LatencyHistogram>>;

    struct Family
    {
        std::string help;
        std::size_t type = 0; ///< Index into Metric.
        std::map<Labels, Metric> metrics;
    };

    template <typename Kind>
    auto find(const MetricText &text, const Labels &labels) -> Kind &;

    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
};

/// One counter for each value of an enumeration, by the label `labelName` with the value's name.
template <NamedEnum Enum>
class EnumCounters
{
public:
    EnumCounters(Registry &registry, const MetricText &text, const std::string &labelName,
                 const Labels &labels = {})
    {
        for (std::size_t index = 0; index < m_counters.size(); ++index) {
            auto all = labels;
            all.push_back({labelName, std::string(enumNames<Enum>[index])});
            m_counters[index] = &registry.counter(text, all);
        }
    }

    auto increment(Enum value, std::uint64_t by = 1) -> void { (*this)[value].increment(by); }

    auto operator[](Enum value) -> Counter &
    {
        return *m_counters[static_cast<std::size_t>(value)];
    }

private:
    std::array<Counter *, enumNames<Enum>.size()> m_counters{};
};

} // namespace stairspur::metrics
