#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <stairspur/config/Configuration.h>
#include <stairspur/config/Finding.h>

/// Reads the operators' TOML file; docs/operations/configuration.md describes it.
namespace stairspur::config {

/// The configuration in a file, with all faults of the file.
struct CheckedConfiguration
{
    Configuration configuration;   ///< Complete only when there are no findings.
    std::vector<Finding> findings; ///< In the order of the file.

    [[nodiscard]] auto isUsable() const -> bool { return findings.empty(); }
};

/// Reads and checks `text` and collects every fault. A fault in the TOML syntax is the only finding, since nothing else
/// can be checked after it. `file` is the name that the findings show; the file itself isn't opened.
auto checkConfiguration(std::string_view text, const std::string &file) -> CheckedConfiguration;

/// Reads and checks `text` and returns its configuration. Throws ConfigurationError with all findings if there are any.
auto readConfiguration(std::string_view text, const std::string &file) -> Configuration;

} // namespace stairspur::config
