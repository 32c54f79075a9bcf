#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// Requests that end the backend servers which run them (poison requests, queries of death): who is suspected, who is
/// stopped, and how the nodes of one service agree on it.
namespace stairspur::quarantine {

/// What makes two requests the same one. Attempt ids, deadlines and the host where a request began differ each time that it
/// comes; what its caller wants does not.
struct RequestIdentity
{
    std::string_view service;
    std::string_view caller; ///< Nobody can have another caller's requests taken for his own.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< With its query.
    std::string_view body;
};

/// 128 bits of a request's SHA-256: the same on every host, and nothing that a caller could aim at another one's request.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestFingerprint &) const = default;

    /// The first 12 of its hexadecimal digits, by which operators name it.
    [[nodiscard]] auto name() const -> std::string;
};

auto fingerprintOf(const RequestIdentity &request) -> RequestFingerprint;

} // namespace stairspur::quarantine

template <>
struct std::hash<stairspur::quarantine::RequestFingerprint>
{
    auto operator()(const stairspur::quarantine::RequestFingerprint &it) const noexcept
            -> std::size_t
    {
        return it.low;
    }
};
