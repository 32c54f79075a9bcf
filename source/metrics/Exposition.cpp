#include "Exposition.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace stairspur::metrics {

static constexpr auto MicrosecondsPerSecond = 1e6;

static auto isLetter(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

static auto isDigit(char c) -> bool
{
    return c >= '0' && c <= '9';
}

auto isMetricName(std::string_view name) -> bool
{
    const auto isAllowed = [](char c) { return isLetter(c) || isDigit(c) || c == ':'; };
    return !name.empty() && !isDigit(name.front())
           && std::all_of(name.begin(), name.end(), isAllowed);
}

auto isLabelName(std::string_view name) -> bool
{
    return isMetricName(name) && name.find(':') == std::string_view::npos
           && !name.starts_with("__");
}

/// Escapes backslashes and newlines, and quotes in label values only.
static auto escape(std::string_view text, bool isLabelValue) -> std::string
{
    auto escaped = std::string();
    for (const auto c : text) {
        if (c == '\\' || (c == '"' && isLabelValue))
            escaped.push_back('\\');
        if (c == '\n')
            escaped += "\\n";
        else
            escaped.push_back(c);
    }
    return escaped;
}

/// Returns the shortest text that parses to the same number, independent of the locale.
static auto toText(double value) -> std::string
{
    auto buf = std::array<char, 32>{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), end};
}

static auto toSeconds(Duration duration) -> std::string
{
    return toText(static_cast<double>(duration.count()) / MicrosecondsPerSecond);
}

auto renderLabels(const Labels &labels) -> std::string
{
    auto text = std::string();
    for (const auto &it : labels) {
        text += text.empty() ? "{" : ",";
        text += it.name + "=\"" + escape(it.value, true) + "\"";
    }
    return text.empty() ? text : text + "}";
}

auto renderHead(const std::string &name, const std::string &help, std::string_view type)
        -> std::string
{
    return "# HELP " + name + " " + escape(help, false) + "\n# TYPE " + name + " "
           + std::string(type) + "\n";
}

static auto renderLine(const std::string &name, const Labels &labels, const std::string &value)
        -> std::string
{
    return name + renderLabels(labels) + " " + value + "\n";
}

auto renderSample(const std::string &name, const Labels &labels, const Counter &counter)
        -> std::string
{
    return renderLine(name, labels, std::to_string(counter.value()));
}

auto renderSample(const std::string &name, const Labels &labels, const Gauge &gauge) -> std::string
{
    return renderLine(name, labels, std::to_string(gauge.value()));
}

auto renderSample(const std::string &name, const Labels &labels, const LatencyHistogram &histogram)
        -> std::string
{
    const auto snapshot = histogram.snapshot();
    auto text = std::string();
    auto bucketLabels = labels;
    bucketLabels.push_back({"le", ""});
    auto cumulative = std::uint64_t{0};
    for (std::size_t index = 0; index < snapshot.counts.size(); ++index) {
        cumulative += snapshot.counts[index];
        bucketLabels.back().value = toSeconds(snapshot.upperEdges[index]);
        text += renderLine(name + "_bucket", bucketLabels, std::to_string(cumulative));
    }
    bucketLabels.back().value = "+Inf";
    const auto total = std::to_string(snapshot.total());
    text += renderLine(name + "_bucket", bucketLabels, total);
    text += renderLine(name + "_sum", labels, toSeconds(snapshot.sum));
    return text + renderLine(name + "_count", labels, total);
}

} // namespace stairspur::metrics
