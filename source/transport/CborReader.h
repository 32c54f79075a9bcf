#pragma once

#include <cstdint>
#include <string_view>

namespace stairspur::transport {

/// Reads CBOR items (RFC 8949) in the order in which the sender wrote them. Every function throws InputError when the
/// next item is another one, or the bytes end. Views point into the bytes.
class CborReader
{
public:
    explicit CborReader(std::string_view bytes)
        : m_rest(bytes)
    {}

    auto readUnsigned() -> std::uint64_t;
    /// An unsigned number that is at most `greatest`.
    auto readUnsigned(std::uint64_t greatest) -> std::uint64_t;
    auto readBytes() -> std::string_view;
    auto readText() -> std::string_view;
    /// The number of items that follow.
    auto readArray() -> std::uint64_t;
    auto readBoolean() -> bool;
    /// Whether the next item is null, which is then passed over.
    auto takeNull() -> bool;
    /// Whether the next item is false, which is then passed over.
    auto takeFalse() -> bool;
    /// Passes over `n` items, whatever they are.
    auto skip(std::uint64_t n) -> void;
    auto ensureEnd() const -> void;

private:
    static constexpr auto MaxDepth = 8;

    auto readHead(std::uint8_t major) -> std::uint64_t;
    auto readArgument(std::uint8_t information) -> std::uint64_t;
    auto readString(std::uint64_t n) -> std::string_view;
    auto skipItem(int depth) -> void;
    auto peek() const -> std::uint8_t;
    auto takeByte() -> std::uint8_t;

    std::string_view m_rest;
};

} // namespace stairspur::transport
