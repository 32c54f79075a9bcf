#include <stairspur/store/Base64.h>

#include <openssl/evp.h>

#include <stairspur/core/Error.h>

namespace stairspur::store {

static constexpr auto BytesPerGroup = std::size_t{3};
static constexpr auto DigitsPerGroup = std::size_t{4};

auto toBase64(std::string_view bytes) -> std::string
{
    const auto groups = (bytes.size() + BytesPerGroup - 1) / BytesPerGroup;
    // EVP_EncodeBlock writes a terminating zero, for which std::string has room.
    auto text = std::string(groups * DigitsPerGroup, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

auto fromBase64(std::string_view text) -> std::string
{
    if (text.empty())
        return {};
    auto bytes = std::string(text.size() / DigitsPerGroup * BytesPerGroup, '\0');
    const auto n = text.size() % DigitsPerGroup != 0
                           ? -1
                           : EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                             reinterpret_cast<const unsigned char *>(text.data()),
                                             static_cast<int>(text.size()));
    if (n < 0)
        throw InputError("the store's answer contains a value that is not base64",
                         "check which protocol the store at this address uses");
    const auto padding = text.ends_with("==") ? 2U : text.ends_with('=') ? 1U : 0U;
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

} // namespace stairspur::store
