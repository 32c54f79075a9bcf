#pragma once

#include <string>
#include <string_view>

namespace stairspur::store {

/// Base64 with padding (RFC 4648, section 4).
auto toBase64(std::string_view bytes) -> std::string;

/// Throws InputError when `text` is not base64.
auto fromBase64(std::string_view text) -> std::string;

} // namespace stairspur::store
