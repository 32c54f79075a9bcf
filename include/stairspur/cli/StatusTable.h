#pragma once

#include <string>
#include <vector>

#include <stairspur/cli/NodeSummary.h>

namespace stairspur::cli {

/// Rows of text in columns that are as wide as they need to be, two spaces apart; whole lines.
auto renderColumns(const std::vector<std::vector<std::string>> &rows) -> std::string;

/// "0.4 s ago", "85 s ago", "12 min ago".
auto describeAge(double seconds) -> std::string;

/// What a node knows of the others, for people: a row for each failure domain, those that are cut off first, a line for
/// each of these, and the nodes that are not alive. Bounded, whatever the size of the fleet: what is left out is counted.
auto renderStatusTable(const NodeSummary &node) -> std::string;

} // namespace stairspur::cli
