#pragma once

#include <string>

#include <stairspur/node/NodeSettings.h>

#include "LivenessHistory.h"
#include "NodeBoard.h"
#include "ReportedVersions.h"

namespace stairspur::node {

/// Returns the body of `GET /status` as JSON: the state of this node, its configuration in force and its members. `reported`:
/// the configuration versions that other nodes have reported recently; `history`: since when nodes have been suspect or dead.
auto statusReport(const NodeSettings &settings, const NodeBoard &board,
                  const ReportedVersionMap &reported, const LivenessHistory &history, TimePoint now)
        -> std::string;

} // namespace stairspur::node
