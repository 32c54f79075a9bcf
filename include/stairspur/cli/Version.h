#pragma once

#include <string_view>

namespace stairspur::cli {

/// The version of this program, as CMakeLists.txt has it.
inline constexpr auto ProgramVersion = std::string_view("0.1.0");

} // namespace stairspur::cli
