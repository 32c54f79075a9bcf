#pragma once

#include <stairspur/node/NodeSettings.h>

namespace stairspur::cli {

/// The settings of a node from the flags' present values. Throws SettingError on the first that cannot be used.
auto readNodeSettings() -> node::NodeSettings;

} // namespace stairspur::cli
