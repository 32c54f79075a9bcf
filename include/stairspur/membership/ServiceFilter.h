#pragma once

#include <set>
#include <string>
#include <string_view>

namespace stairspur::membership {

/// A set of services as 1024 bits, one for each hash of a name. Relays of other domains omit records of services that
/// are not in it. A hash collision adds records that are not needed, but never omits one.
class ServiceFilter
{
public:
    static constexpr auto Bytes = std::size_t{128};

    /// Creates an empty filter.
    ServiceFilter() = default;
    explicit ServiceFilter(const std::set<std::string> &services);
    /// Creates a filter from the bytes of another node's filter. Throws InputError unless there are 128.
    explicit ServiceFilter(std::string_view bytes);

    [[nodiscard]] auto mayContain(std::string_view service) const -> bool;
    [[nodiscard]] auto bytes() const -> const std::string & { return m_bits; }

private:
    std::string m_bits = std::string(Bytes, '\0');
};

} // namespace stairspur::membership
