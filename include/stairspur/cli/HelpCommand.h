#pragma once

#include <string>

#include <stairspur/cli/CommandReport.h>

namespace stairspur::cli {

/// What `help` has to say about `topic`: a command, `settings`, or nothing for the list of commands. Throws UsageError
/// on any other topic. `bootHelp`: see BootNode::help.
auto reportHelp(const std::string &topic, const std::string &bootHelp = {}) -> CommandReport;

/// Every flag and its variable, as the page docs/operations/settings.md.
auto settingsReference() -> std::string;

} // namespace stairspur::cli
