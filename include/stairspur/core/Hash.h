#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Hashes that are the same on every host and in every version (xxHash, SHA-256).
namespace stairspur {

/// XXH3, 64 bits. For placement and checks of wholeness, not against an adversary.
auto hash64(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

/// SHA-256 as 64 lower-case hexadecimal digits. For keys and configuration.
auto sha256Hex(std::string_view text) -> std::string;

/// Compares in a time that depends on the lengths only.
auto isEqualInConstantTime(std::string_view a, std::string_view b) -> bool;

} // namespace stairspur
