#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

/// CBOR (RFC 8949), the encoding of messages between processes of stairspur.
namespace stairspur {

/// Returns `value` encoded as CBOR.
auto toCbor(const nlohmann::json &value) -> std::string;

/// Decodes `bytes`, which must be exactly one CBOR item. Throws InputError otherwise.
auto fromCbor(std::string_view bytes) -> nlohmann::json;

/// Returns an unsigned integer of a message. Throws InputError for anything else: the library would convert a
/// floating-point or negative number as C++ does, which is undefined for values out of range.
auto readUnsigned(const nlohmann::json &value) -> std::uint64_t;

/// Returns a signed integer of a message. Throws InputError for anything else.
auto readSigned(const nlohmann::json &value) -> std::int64_t;

} // namespace stairspur
