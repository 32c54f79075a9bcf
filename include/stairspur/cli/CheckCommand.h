#pragma once

#include <istream>
#include <string>

#include <stairspur/cli/CommandReport.h>

namespace stairspur::cli {

/// The text of a file; "-" stands for `in`. Throws CommandError when it cannot be read.
auto readFile(const std::string &file, std::istream &in) -> std::string;

/// Every finding in `text`, or what it holds. `file` is named in the findings.
auto checkText(const std::string &text, const std::string &file) -> CommandReport;

} // namespace stairspur::cli
