#include <stairspur/config/ConfigurationReader.h>

#include "ConfigurationFileReader.h"

namespace stairspur::config {

/// Limits the memory that reading a file can take.
static constexpr auto MaxFileBytes = std::size_t{64} << 20U;

static auto parse(std::string_view text, FindingList &findings) -> std::optional<toml::table>
{
    if (text.size() > MaxFileBytes) {
        findings.add({1, 1}, "the file is larger than 64MiB", "split the configuration");
        return std::nullopt;
    }
    try {
        return toml::parse(text);
    } catch (const toml::parse_error &error) {
        findings.add(error.source().begin, std::string(error.description()),
                     "correct the TOML syntax (https://toml.io/en/v1.0.0)");
        return std::nullopt;
    }
}

auto checkConfiguration(std::string_view text, const std::string &file) -> CheckedConfiguration
{
    auto findings = FindingList(file);
    auto checked = CheckedConfiguration();
    const auto root = parse(text, findings);
    if (root)
        checked.configuration = ConfigurationFileReader(*root, findings).read();
    checked.findings = findings.take();
    return checked;
}

auto readConfiguration(std::string_view text, const std::string &file) -> Configuration
{
    auto checked = checkConfiguration(text, file);
    if (!checked.isUsable())
        throw ConfigurationError(std::move(checked.findings));
    return std::move(checked.configuration);
}

} // namespace stairspur::config
