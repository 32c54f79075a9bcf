#include <stairspur/keyed/KeyHome.h>

#include <algorithm>
#include <cctype>
#include <charconv>

#include <stairspur/core/Error.h>
#include <stairspur/core/Hash.h>

namespace stairspur::keyed {

static constexpr auto UuidLength = std::size_t{36};
static constexpr auto UuidVersionIndex = std::size_t{14};
static constexpr auto HexBase = 16;
/// Separates the caller from the key in a scoped key. The configuration doesn't allow this character in a caller's
/// name.
static constexpr auto ScopeSeparator = '\x1f';

auto explicitHomeOf(std::string_view key, const std::vector<std::string> &domains)
        -> std::optional<std::string>
{
    const auto slash = key.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto it = std::find(domains.begin(), domains.end(), key.substr(0, slash));
    return it == domains.end() ? std::nullopt : std::optional(*it);
}

auto homeOf(std::string_view key, std::string_view callerHome,
            const std::vector<std::string> &domains) -> std::string
{
    if (domains.empty())
        throw InputError("no failure domain is configured",
                         "apply a configuration that names the failure domains");
    if (auto home = explicitHomeOf(key, domains))
        return *home;
    const auto it = std::find(domains.begin(), domains.end(), callerHome);
    if (it != domains.end())
        return *it;
    const auto keyHash = hash64(key);
    return *std::max_element(domains.begin(), domains.end(), [&](const auto &a, const auto &b) {
        return hash64(a, keyHash) < hash64(b, keyHash);
    });
}

auto scopedKey(std::string_view caller, std::string_view key) -> std::string
{
    auto text = std::string(caller);
    text += ScopeSeparator;
    text += key;
    return text;
}

auto slotOf(std::string_view service, std::string_view scopedKey, std::uint32_t slots)
        -> std::uint32_t
{
    return static_cast<std::uint32_t>(hash64(scopedKey, hash64(service)) % slots);
}

static auto isUuidVersion7(std::string_view text) -> bool
{
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto isHyphenIndex = index == 8 || index == 13 || index == 18 || index == 23;
        if (isHyphenIndex != (text[index] == '-'))
            return false;
        if (!isHyphenIndex && std::isxdigit(static_cast<unsigned char>(text[index])) == 0)
            return false;
    }
    return text[UuidVersionIndex] == '7';
}

auto mintTimeOf(std::string_view key) -> std::optional<WallMilliseconds>
{
    if (key.size() < UuidLength)
        return std::nullopt;
    const auto uuid = key.substr(key.size() - UuidLength);
    if (!isUuidVersion7(uuid))
        return std::nullopt;
    // The first 48 bits are the milliseconds since the Unix epoch (RFC 9562, section 5.7).
    const auto digits = std::string(uuid.substr(0, 8)) + std::string(uuid.substr(9, 4));
    auto value = WallMilliseconds{0};
    std::from_chars(digits.data(), digits.data() + digits.size(), value, HexBase);
    return value;
}

} // namespace stairspur::keyed
