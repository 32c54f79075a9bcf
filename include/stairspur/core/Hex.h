#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stairspur {

/// The bytes of `bytes` as lower-case hexadecimal digits.
auto toHex(std::string_view bytes) -> std::string;

/// `value` as 16 lower-case hexadecimal digits.
auto toHex(std::uint64_t value) -> std::string;

} // namespace stairspur
