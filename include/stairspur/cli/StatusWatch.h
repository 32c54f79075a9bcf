#pragma once

#include <functional>
#include <ostream>

#include <stairspur/cli/CommandReport.h>

namespace stairspur::cli {

/// Waits until the next look is due. False: the operator has had enough.
using Pacer = std::function<bool()>;

/// Shows what `look` says on a cleared terminal, again and again, until `wait` says no or `out` takes no more. Returns
/// how the last look ended, without its text.
auto watchReports(const std::function<CommandReport()> &look, const Pacer &wait, std::ostream &out)
        -> CommandReport;

/// A second between two looks; SIGINT and SIGTERM end it.
auto makeSecondPacer() -> Pacer;

} // namespace stairspur::cli
