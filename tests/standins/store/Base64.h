#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include <openssl/evp.h>

/// Base64 (RFC 4648) as the gateway of etcd carries bytes in JSON.
namespace stairspur::standin {

inline auto encodeBase64(std::string_view bytes) -> std::string
{
    auto text = std::string((bytes.size() + 2) / 3 * 4, '\0');
    // The encoder also writes a terminating zero, which lands on that of the string.
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

/// Throws std::invalid_argument for anything but whole groups of four.
inline auto decodeBase64(std::string_view text) -> std::string
{
    if (text.empty())
        return {};
    if (text.size() % 4 != 0)
        throw std::invalid_argument("illegal base64 data");
    auto bytes = std::string(text.size() / 4 * 3, '\0');
    const auto n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                   reinterpret_cast<const unsigned char *>(text.data()),
                                   static_cast<int>(text.size()));
    if (n < 0)
        throw std::invalid_argument("illegal base64 data");
    const auto padding = text.ends_with("==") ? 2U : text.ends_with("=") ? 1U : 0U;
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

} // namespace stairspur::standin
