#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// Distribution of an accepted configuration to every node.
namespace stairspur::distribution {

/// Identifies the configuration that a node has in force, in 24 bytes. Every membership probe and ack carries one.
struct Digest
{
    static constexpr auto HashBytes = std::size_t{16};
    static constexpr auto Bytes = sizeof(std::uint64_t) + HashBytes;

    std::uint64_t version = 0; ///< Version of the configuration; 0 for none.
    std::string hash;          ///< First 16 bytes of the configuration's SHA-256; empty for none.

    auto operator==(const Digest &) const -> bool = default;

    /// Returns the version (big-endian) followed by the hash, always 24 bytes.
    [[nodiscard]] auto encode() const -> std::string;
};

/// Returns the digest of a configuration whose full hash is given in hexadecimal digits.
auto digestOf(std::uint64_t version, std::string_view hexHash) -> Digest;

/// Decodes a digest. Throws InputError when `bytes` does not have 24 bytes.
auto decodeDigest(std::string_view bytes) -> Digest;

/// Returns the bytes that hexadecimal digits represent. Throws InputError when they are malformed.
auto bytesOfHex(std::string_view digits) -> std::string;

} // namespace stairspur::distribution
