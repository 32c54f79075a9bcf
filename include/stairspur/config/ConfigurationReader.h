#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <stairspur/config/Configuration.h>
#include <stairspur/config/Finding.h>

/// Reads the operators' TOML file; docs/operations/configuration.md describes it.
namespace stairspur::config {

/// What a file says, and everything that is wrong with it.
struct CheckedConfiguration
{
    Configuration configuration;   ///< Whole only when nothing was found.
    std::vector<Finding> findings; ///< In the order of the file.

    [[nodiscard]] auto isUsable() const -> bool { return findings.empty(); }
};

/// Reads and checks `text` and collects every fault. After a fault in the TOML syntax nothing else can be checked, so
/// that it is the only finding. `file` is named in the findings; it is not opened.
auto checkConfiguration(std::string_view text, const std::string &file) -> CheckedConfiguration;

/// The same for a caller that needs a usable configuration. Throws ConfigurationError with every finding.
auto readConfiguration(std::string_view text, const std::string &file) -> Configuration;

} // namespace stairspur::config
