#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <optional>
#include <string>

#include <stairspur/cli/CommandReport.h>
#include <stairspur/cli/StatusCommand.h>
#include <stairspur/distribution/PublishProtocol.h>

/// The commands that go to the platform's store.
namespace stairspur::cli {

/// Applies a configuration through a store and waits for the result.
using Publisher = std::function<distribution::PublishResult(distribution::PublishRequest)>;

/// What an operator may ask of an apply besides the file.
struct ApplyOptions
{
    std::string appliedBy;                        ///< For people; shown by status.
    std::optional<std::uint64_t> expectedVersion; ///< Refuse unless this version is in force.
    std::uint64_t minimumVersion = 1;
};

/// Checks `text` and applies it. A file with findings is reported and nothing is asked of the store.
auto apply(const std::string &text, const std::string &file, const ApplyOptions &options,
           const Publisher &publish) -> CommandReport;

/// The report of an apply. Conflicts, lost answers and refusals have exit codes of their own.
auto reportPublishing(const distribution::PublishResult &result) -> CommandReport;

/// Applies the file with the store that the flags name. `in` is read for the file "-".
auto runApply(const std::string &file, std::istream &in) -> CommandReport;

/// A reader of the head with the store that the flags name; empty when they name none. Throws SettingError.
auto makeHeadReaderFromFlags() -> HeadReader;

} // namespace stairspur::cli
