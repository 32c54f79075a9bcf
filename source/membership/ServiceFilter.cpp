#include <stairspur/membership/ServiceFilter.h>

#include <stairspur/core/Error.h>
#include <stairspur/core/Hash.h>

namespace stairspur::membership {

static constexpr auto BitsPerByte = std::size_t{8};

static auto bitOf(std::string_view service) -> std::size_t
{
    return hash64(service) % (ServiceFilter::Bytes * BitsPerByte);
}

ServiceFilter::ServiceFilter(const std::set<std::string> &services)
{
    for (const auto &it : services) {
        const auto bit = bitOf(it);
        auto &byte = m_bits[bit / BitsPerByte];
        byte = static_cast<char>(static_cast<unsigned char>(byte) | (1U << (bit % BitsPerByte)));
    }
}

ServiceFilter::ServiceFilter(std::string_view bytes)
    : m_bits(bytes)
{
    if (bytes.size() != Bytes)
        throw InputError("a service filter has " + std::to_string(bytes.size())
                                 + " bytes instead of 128",
                         "check that both ends run the same protocol version of stairspur");
}

auto ServiceFilter::mayContain(std::string_view service) const -> bool
{
    const auto bit = bitOf(service);
    const auto byte = static_cast<unsigned char>(m_bits[bit / BitsPerByte]);
    return (byte >> (bit % BitsPerByte) & 1U) != 0;
}

} // namespace stairspur::membership
