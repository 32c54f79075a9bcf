#include <stairspur/quarantine/RequestFingerprint.h>

#include <charconv>

#include <stairspur/core/Hash.h>
#include <stairspur/core/Hex.h>

namespace stairspur::quarantine {

static constexpr auto NameDigits = std::size_t{12};
static constexpr auto HalfDigits = std::size_t{16};

auto RequestFingerprint::name() const -> std::string
{
    return toHex(high).substr(0, NameDigits);
}

/// Appends a part with its length before it, so that no two requests result in the same text.
static auto addPart(std::string &text, std::string_view part) -> void
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

static auto readHalf(std::string_view digits) -> std::uint64_t
{
    auto half = std::uint64_t{0};
    std::from_chars(digits.data(), digits.data() + digits.size(), half, 16);
    return half;
}

auto fingerprintOf(const RequestIdentity &request) -> RequestFingerprint
{
    const auto parts = {request.service, request.caller, request.method,
                        request.host,    request.target, request.body};
    auto text = std::string();
    for (const auto it : parts)
        addPart(text, it);
    const auto digits = sha256Hex(text);
    const auto both = std::string_view(digits);
    return {readHalf(both.substr(0, HalfDigits)), readHalf(both.substr(HalfDigits, HalfDigits))};
}

} // namespace stairspur::quarantine
