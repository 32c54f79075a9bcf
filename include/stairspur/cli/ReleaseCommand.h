#pragma once

#include <string>

#include <stairspur/cli/AdminClient.h>
#include <stairspur/cli/CommandReport.h>

namespace stairspur::cli {

/// Asks a node of the service, and by it all others, to let a request run again that is on trial or refused because backend servers
/// ended under it. `request` is its name in `stairspur status` and in the log.
auto release(const AdminSender &send, const std::string &request) -> CommandReport;

/// The same with the node that the flags name.
auto runRelease(const std::string &request) -> CommandReport;

} // namespace stairspur::cli
