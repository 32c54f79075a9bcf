#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Hash functions whose results are the same on every host and in every version (xxHash, SHA-256).
namespace stairspur {

/// Returns the 64-bit XXH3 hash of `text`, for placement and integrity checks. It isn't secure against an adversary.
auto hash64(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

/// Returns the SHA-256 digest of `text` as 64 lower-case hexadecimal digits, for keys and configuration.
/// Throws Error when OpenSSL lacks SHA-256.
auto sha256Hex(std::string_view text) -> std::string;

/// Returns whether `a` equals `b`, in a time that depends on the lengths only.
auto isEqualInConstantTime(std::string_view a, std::string_view b) -> bool;

} // namespace stairspur
