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

/// Metrics of a node, for Prometheus.
namespace stairspur::metrics {

/// A metric has a malformed name or label, or its name is registered with another type.
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

/// Name and help text of a metric: "stairspur_entry_refusals_total", "Calls that ...".
struct MetricText
{
    std::string name;
    std::string help;
};

/// All metrics of a process. Looking up a metric takes a lock, so look it up once and keep the reference, which is
/// valid for the lifetime of the registry. Recording a value takes no lock.
class Registry
{
public:
    /// Returns the metric with this name and these labels, and creates it on first use. Throws MetricError when the
    /// name or a label is malformed, or the name is registered with another type.
    auto counter(const MetricText &text, const Labels &labels = {}) -> Counter &;
    auto gauge(const MetricText &text, const Labels &labels = {}) -> Gauge &;
    auto histogram(const MetricText &text, const Labels &labels = {}) -> LatencyHistogram &;

    /// Returns all metrics in the Prometheus text exposition format, version 0.0.4. Latencies are in seconds.
    [[nodiscard]] auto renderPrometheus() const -> std::string;

private:
    using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                                std::unique_ptr<LatencyHistogram>>;

    struct Family
    {
        std::string help;
        std::size_t type = 0; ///< Index of the alternative of Metric.
        std::map<Labels, Metric> metrics;
    };

    static auto renderMetric(const std::string &name, const Labels &labels, const Metric &metric)
            -> std::string;

    template <typename Kind>
    auto find(const MetricText &text, const Labels &labels) -> Kind &;

    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
};

/// One counter for each value of an enumeration. The label `labelName` contains the value's name.
template <NamedEnum Enum>
class EnumCounters
{
public:
    EnumCounters(Registry &registry, const MetricText &text, const std::string &labelName,
                 const Labels &labels = {})
    {
        for (std::size_t index = 0; index < m_counters.size(); ++index) {
            auto counterLabels = labels;
            counterLabels.push_back({labelName, std::string(enumNames<Enum>[index])});
            m_counters[index] = &registry.counter(text, counterLabels);
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
