#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// How an accepted configuration comes into force on every node.
namespace stairspur::distribution {

/// Which configuration a node has in force, in 24 bytes: every membership probe and ack carries one.
struct Digest
{
    static constexpr auto HashBytes = std::size_t{16};
    static constexpr auto Bytes = sizeof(std::uint64_t) + HashBytes;

    std::uint64_t version = 0; ///< 0: none.
    std::string hash; ///< The first 16 bytes of the configuration's SHA-256; empty for none.

    auto operator==(const Digest &) const -> bool = default;

    /// Version (big-endian) and hash: always 24 bytes.
    [[nodiscard]] auto encode() const -> std::string;
};

/// The digest of a configuration whose whole hash is given in hexadecimal digits.
auto digestOf(std::uint64_t version, std::string_view hexHash) -> Digest;

/// Throws InputError when `bytes` are not 24.
auto decodeDigest(std::string_view bytes) -> Digest;

/// The bytes of hexadecimal digits. Throws InputError.
auto bytesOfHex(std::string_view digits) -> std::string;

} // namespace stairspur::distribution
