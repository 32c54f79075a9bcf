#include <stairspur/core/Hash.h>

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <stairspur/core/Error.h>
#include <stairspur/core/Hex.h>

namespace stairspur {

auto hash64(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Returns the SHA-256 algorithm, or null when OpenSSL lacks it. EVP_MD_fetch (OpenSSL 3) takes longer than hashing a
/// key, so the algorithm is fetched once and never freed.
static auto sha256() -> const EVP_MD *
{
    static const auto *const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    return algorithm;
}

auto sha256Hex(std::string_view text) -> std::string
{
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    unsigned int n = 0;
    const auto *const algorithm = sha256();
    if (algorithm == nullptr
        || EVP_Digest(text.data(), text.size(), digest.data(), &n, algorithm, nullptr) != 1)
        throw Error("SHA-256 is not available", "install an OpenSSL version that provides it");
    return toHex(std::string_view(reinterpret_cast<const char *>(digest.data()), n));
}

auto isEqualInConstantTime(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace stairspur
