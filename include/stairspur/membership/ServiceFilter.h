#pragma once

#include <set>
#include <string>
#include <string_view>

namespace stairspur::membership {

/// Services of interest as 1024 bits, one for each hash of a name: other domains' relays leave out what it doesn't
/// hold. A chance collision costs a few records too many, never one too few.
class ServiceFilter
{
public:
    static constexpr auto Bytes = std::size_t{128};

    /// Holds nothing.
    ServiceFilter() = default;
    explicit ServiceFilter(const std::set<std::string> &services);
    /// From the bytes of another node's filter. Throws InputError unless there are 128.
    explicit ServiceFilter(std::string_view bytes);

    [[nodiscard]] auto mayContain(std::string_view service) const -> bool;
    [[nodiscard]] auto bytes() const -> const std::string & { return m_bits; }

private:
    std::string m_bits = std::string(Bytes, '\0');
};

} // namespace stairspur::membership
