#pragma once

#include <map>
#include <set>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

namespace stairspur::node {

/// Parses the Prometheus text format. Fails the test on a sample without a type, a duplicate name or series, and a family
/// whose samples are not contiguous.
struct Exposition
{
    explicit Exposition(const std::string &text)
    {
        auto lines = std::istringstream(text);
        for (auto line = std::string(); std::getline(lines, line);)
            line.starts_with("# ") ? addComment(line) : addSample(line);
    }

    auto addComment(const std::string &line) -> void
    {
        auto words = std::istringstream(line);
        auto hash = std::string();
        auto kind = std::string();
        auto name = std::string();
        auto type = std::string();
        words >> hash >> kind >> name >> type;
        cr_assert(kind == "HELP" || kind == "TYPE", "%s", line.c_str());
        if (kind != "TYPE")
            return;
        cr_assert(types.emplace(name, type).second, "duplicate name %s", name.c_str());
        family = name;
    }

    auto addSample(const std::string &line) -> void
    {
        const auto split = line.rfind(' ');
        cr_assert_neq(split, std::string::npos, "%s", line.c_str());
        const auto series = line.substr(0, split);
        const auto name = series.substr(0, series.find('{'));
        const auto isHistogram = types[family] == "histogram";
        const auto suffix = isHistogram ? name.substr(family.size()) : std::string();
        const auto fits = isHistogram ? name.starts_with(family)
                                                && (suffix == "_bucket" || suffix == "_sum"
                                                    || suffix == "_count")
                                      : name == family;
        cr_assert(fits, "%s is in the family %s", name.c_str(), family.c_str());
        cr_assert(samples.emplace(series, std::stod(line.substr(split + 1))).second,
                  "duplicate series %s", series.c_str());
    }

    [[nodiscard]] auto value(const std::string &series) const -> double
    {
        const auto it = samples.find(series);
        cr_assert(it != samples.end(), "no %s", series.c_str());
        return it->second;
    }

    std::map<std::string, std::string> types; ///< Types by family.
    std::map<std::string, double> samples;    ///< Values by name with labels.
    std::string family;                       ///< Family of the next samples.
};

} // namespace stairspur::node
