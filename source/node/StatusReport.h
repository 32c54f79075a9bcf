#pragma once

#include <string>

#include <stairspur/node/NodeSettings.h>

#include "LivenessHistory.h"
#include "NodeBoard.h"
#include "VersionsHeard.h"

namespace stairspur::node {

/// `GET /status`, as JSON: what this node is, what it has in force and whom it knows. `heard`: what other
/// nodes said lately that they have in force; `history`: since when nodes are suspect or dead.
auto statusReport(const NodeSettings &settings, const NodeBoard &board, const HeardVersions &heard,
                  const LivenessHistory &history, TimePoint now) -> std::string;

} // namespace stairspur::node
