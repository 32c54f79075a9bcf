#pragma once

#include <string>
#include <string_view>

#include <stairspur/metrics/Registry.h>

/// Pieces of the Prometheus text exposition format, version 0.0.4.
namespace stairspur::metrics {

/// Whether `name` matches [a-zA-Z_:][a-zA-Z0-9_:]*.
auto isMetricName(std::string_view name) -> bool;

/// Whether `name` matches [a-zA-Z_][a-zA-Z0-9_]* and does not begin with "__", which Prometheus
/// keeps for itself.
auto isLabelName(std::string_view name) -> bool;

/// `{name="value",...}` with the values escaped; empty without labels.
auto renderLabels(const Labels &labels) -> std::string;

/// The `# HELP` and `# TYPE` lines.
auto renderHead(const std::string &name, const std::string &help, std::string_view type)
        -> std::string;

/// The lines of one metric.
auto renderSample(const std::string &name, const Labels &labels, const Counter &counter)
        -> std::string;
auto renderSample(const std::string &name, const Labels &labels, const Gauge &gauge) -> std::string;
auto renderSample(const std::string &name, const Labels &labels, const LatencyHistogram &histogram)
        -> std::string;

} // namespace stairspur::metrics
