#include <stairspur/core/Identifiers.h>

#include <charconv>

#include <stairspur/core/Error.h>
#include <stairspur/core/Hash.h>
#include <stairspur/core/Hex.h>

namespace stairspur {

static constexpr auto DigitsPerWord = std::size_t{16};
static constexpr auto HexBase = 16;

auto RootId::toString() const -> std::string
{
    return toHex(high) + toHex(low);
}

auto RootId::hash() const -> std::uint64_t
{
    return hash64(std::string_view(reinterpret_cast<const char *>(&low), sizeof low), high);
}

static auto parseWord(std::string_view digits) -> std::uint64_t
{
    auto value = std::uint64_t{0};
    const auto *end = digits.data() + digits.size();
    const auto [stop, ec] = std::from_chars(digits.data(), end, value, HexBase);
    if (ec != std::errc() || stop != end)
        throw InputError("the trace id contains a character that is not a hexadecimal digit",
                         "send 32 lower-case hexadecimal digits (W3C Trace Context)");
    return value;
}

auto parseRootId(const std::string &text) -> RootId
{
    if (text.size() != 2 * DigitsPerWord)
        throw InputError("the trace id does not have 32 digits",
                         "send a traceparent header as W3C Trace Context specifies");
    const auto view = std::string_view(text);
    const auto id =
            RootId{parseWord(view.substr(0, DigitsPerWord)), parseWord(view.substr(DigitsPerWord))};
    if (id == RootId{})
        throw InputError("the trace id is all zeroes",
                         "send a traceparent header as W3C Trace Context specifies");
    return id;
}

} // namespace stairspur
