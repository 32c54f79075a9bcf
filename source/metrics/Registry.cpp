#include <stairspur/metrics/Registry.h>

#include "Exposition.h"

namespace stairspur::metrics {

/// Names of the metric types, in the order of Registry::Metric's alternatives.
static constexpr auto TypeNames = std::array<std::string_view, 3>{"counter", "gauge", "histogram"};

/// Throws MetricError unless the name and the labels are valid for Prometheus.
static auto ensureRenderable(const MetricText &text, const Labels &labels) -> void
{
    if (!isMetricName(text.name))
        throw MetricError("'" + text.name + "' is not a valid metric name",
                          "use letters, digits, '_' and ':', and start with no digit");
    for (const auto &it : labels) {
        if (!isLabelName(it.name) || it.name == "le")
            throw MetricError("'" + it.name + "' is not a valid label name of " + text.name,
                              "use letters, digits and '_', start with neither a digit nor '__', "
                              "and don't use 'le'");
    }
}

template <typename Kind>
auto Registry::find(const MetricText &text, const Labels &labels) -> Kind &
{
    ensureRenderable(text, labels);
    const auto lock = std::scoped_lock(m_mutex);
    const auto type = Metric(std::unique_ptr<Kind>()).index();
    const auto [family, isNew] = m_families.try_emplace(text.name, Family{text.help, type, {}});
    if (family->second.type != type)
        throw MetricError(text.name + " is already registered as a "
                                  + std::string(TypeNames[family->second.type]),
                          "give the " + std::string(TypeNames[type]) + " another name");
    auto &metric = family->second.metrics[labels];
    auto *kind = std::get_if<std::unique_ptr<Kind>>(&metric);
    if (kind == nullptr || *kind == nullptr)
        metric = std::make_unique<Kind>();
    return *std::get<std::unique_ptr<Kind>>(metric);
}

auto Registry::counter(const MetricText &text, const Labels &labels) -> Counter &
{
    return find<Counter>(text, labels);
}

auto Registry::gauge(const MetricText &text, const Labels &labels) -> Gauge &
{
    return find<Gauge>(text, labels);
}

auto Registry::histogram(const MetricText &text, const Labels &labels) -> LatencyHistogram &
{
    return find<LatencyHistogram>(text, labels);
}

auto Registry::renderMetric(const std::string &name, const Labels &labels, const Metric &metric)
        -> std::string
{
    return std::visit([&](const auto &it) { return renderSample(name, labels, *it); }, metric);
}

auto Registry::renderPrometheus() const -> std::string
{
    const auto lock = std::scoped_lock(m_mutex);
    auto text = std::string();
    for (const auto &[name, family] : m_families) {
        text += renderHead(name, family.help, TypeNames[family.type]);
        for (const auto &[labels, metric] : family.metrics)
            text += renderMetric(name, labels, metric);
    }
    return text;
}

} // namespace stairspur::metrics
