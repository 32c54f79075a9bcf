#pragma once

#include <string>
#include <string_view>

#include <stairspur/metrics/Registry.h>

/// Elements of the Prometheus text exposition format, version 0.0.4.
namespace stairspur::metrics {

/// Returns whether `name` matches [a-zA-Z_:][a-zA-Z0-9_:]*.
auto isMetricName(std::string_view name) -> bool;

/// Returns whether `name` matches [a-zA-Z_][a-zA-Z0-9_]* and doesn't start with "__", which Prometheus reserves.
auto isLabelName(std::string_view name) -> bool;

/// Returns `{name="value",...}` with the values escaped, or an empty string without labels.
auto renderLabels(const Labels &labels) -> std::string;

/// Returns the `# HELP` and `# TYPE` lines of a metric family.
auto renderHead(const std::string &name, const std::string &help, std::string_view type)
        -> std::string;

/// Returns the sample lines of one metric.
auto renderSample(const std::string &name, const Labels &labels, const Counter &counter)
        -> std::string;
auto renderSample(const std::string &name, const Labels &labels, const Gauge &gauge) -> std::string;
auto renderSample(const std::string &name, const Labels &labels, const LatencyHistogram &histogram)
        -> std::string;

} // namespace stairspur::metrics
