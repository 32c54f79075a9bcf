#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stairspur {

/// Returns `bytes` as lower-case hexadecimal digits, two for each byte.
auto toHex(std::string_view bytes) -> std::string;

/// Returns `value` as 16 lower-case hexadecimal digits.
auto toHex(std::uint64_t value) -> std::string;

} // namespace stairspur
