#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stairspur::transport {

/// Appends CBOR items (RFC 8949) to a string, shortest form first.
///
/// Frames are written and read for every call, so they go without the tree of values that stairspur::toCbor needs.
class CborWriter
{
public:
    explicit CborWriter(std::string &bytes)
        : m_bytes(bytes)
    {}

    auto addUnsigned(std::uint64_t value) -> CborWriter & { return addHead(0, value); }
    auto addBytes(std::string_view value) -> CborWriter &;
    auto addText(std::string_view value) -> CborWriter &;
    /// `n` items follow.
    auto addArray(std::uint64_t n) -> CborWriter & { return addHead(4, n); }
    auto addBoolean(bool value) -> CborWriter &;
    auto addNull() -> CborWriter &;

private:
    auto addHead(std::uint8_t major, std::uint64_t argument) -> CborWriter &;

    std::string &m_bytes;
};

} // namespace stairspur::transport
