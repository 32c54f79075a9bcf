#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

/// CBOR (RFC 8949) for what the system's own processes tell each other.
namespace stairspur {

/// `value` as CBOR bytes.
auto toCbor(const nlohmann::json &value) -> std::string;

/// Reads one CBOR item that fills `bytes`. Throws InputError on anything else.
auto fromCbor(std::string_view bytes) -> nlohmann::json;

} // namespace stairspur
