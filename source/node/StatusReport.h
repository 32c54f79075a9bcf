#pragma once

#include <string>

#include <stairspur/node/NodeSettings.h>

#include "NodeBoard.h"

namespace stairspur::node {

/// `GET /status`: what this node is, what it has in force and whom it knows, as JSON.
auto statusReport(const NodeSettings &settings, const NodeBoard &board) -> std::string;

} // namespace stairspur::node
