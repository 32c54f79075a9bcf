#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <toml++/toml.h>

namespace stairspur::config {

/// Where `text` has its first character beyond ASCII outside comments and strings, if any. TOML allows none there
/// (https://toml.io/en/v1.0.0#keys). The library's parser must not see such a text: for many letters, such as U+017E, its
/// test for white space runs into a point that it calls unreachable, which is undefined behaviour (toml++ 3.3).
auto findBareNonAscii(std::string_view text) -> std::optional<toml::source_position>;

} // namespace stairspur::config
