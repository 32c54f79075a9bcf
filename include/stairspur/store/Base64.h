#pragma once

#include <string>
#include <string_view>

namespace stairspur::store {

/// Returns `bytes` as base64 with padding (RFC 4648, section 4).
auto toBase64(std::string_view bytes) -> std::string;

/// Returns the bytes that `text` encodes. Throws InputError if `text` is not base64 with padding.
auto fromBase64(std::string_view text) -> std::string;

} // namespace stairspur::store
