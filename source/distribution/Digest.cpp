#include <stairspur/distribution/Digest.h>

#include <charconv>

#include <stairspur/core/Error.h>

namespace stairspur::distribution {

static constexpr auto BitsPerByte = 8U;
static constexpr auto HexBase = 16;

auto Digest::encode() const -> std::string
{
    auto bytes = std::string();
    for (auto shift = (sizeof version - 1) * BitsPerByte; bytes.size() < sizeof version;
         shift -= BitsPerByte)
        bytes.push_back(static_cast<char>(version >> shift));
    bytes += hash;
    bytes.resize(Bytes, '\0');
    return bytes;
}

auto decodeDigest(std::string_view bytes) -> Digest
{
    if (bytes.size() != Digest::Bytes)
        throw InputError("a configuration digest has " + std::to_string(bytes.size()) + " bytes",
                         "run one protocol version of stairspur on all nodes");
    auto digest = Digest();
    for (const auto it : bytes.substr(0, sizeof digest.version))
        digest.version = digest.version << BitsPerByte | static_cast<unsigned char>(it);
    if (digest.version != 0)
        digest.hash = bytes.substr(sizeof digest.version);
    return digest;
}

auto digestOf(std::uint64_t version, std::string_view hexHash) -> Digest
{
    if (version == 0)
        return {};
    return {version, bytesOfHex(hexHash.substr(0, 2 * Digest::HashBytes))};
}

auto bytesOfHex(std::string_view digits) -> std::string
{
    auto bytes = std::string();
    for (auto index = std::size_t{0}; index < digits.size(); index += 2) {
        auto value = 0U;
        const auto *begin = digits.data() + index;
        const auto *end = digits.data() + std::min(index + 2, digits.size());
        const auto [stop, ec] = std::from_chars(begin, end, value, HexBase);
        if (ec != std::errc() || stop != begin + 2)
            throw InputError("a hash contains characters other than pairs of hexadecimal digits",
                             "run one protocol version of stairspur on all nodes");
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

} // namespace stairspur::distribution
