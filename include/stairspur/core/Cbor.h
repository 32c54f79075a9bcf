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

} // namespace stairspur
