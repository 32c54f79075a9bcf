#include <stairspur/core/Hex.h>

namespace stairspur {

static constexpr auto Digits = std::string_view("0123456789abcdef");
static constexpr auto BitsPerDigit = 4;
static constexpr auto DigitsPerWord = 16;

auto toHex(std::string_view bytes) -> std::string
{
    auto text = std::string();
    text.reserve(bytes.size() * 2);
    for (const auto it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        text.push_back(Digits[byte >> BitsPerDigit]);
        text.push_back(Digits[byte & 0xf]);
    }
    return text;
}

auto toHex(std::uint64_t value) -> std::string
{
    auto text = std::string(DigitsPerWord, '0');
    for (auto index = DigitsPerWord - 1; index >= 0; --index) {
        text[index] = Digits[value & 0xf];
        value >>= BitsPerDigit;
    }
    return text;
}

} // namespace stairspur
