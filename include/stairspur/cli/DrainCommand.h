#pragma once

#include <stairspur/cli/AdminClient.h>
#include <stairspur/cli/CommandReport.h>

namespace stairspur::cli {

/// Asks a node to take no new work, end its running calls and leave.
auto drain(const AdminSender &send) -> CommandReport;

/// The same with the node that the flags name.
auto runDrain() -> CommandReport;

} // namespace stairspur::cli
