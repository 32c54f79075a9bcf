#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// Quarantine of requests that crash the backend servers which run them (poison requests, queries of death): which requests
/// are suspected, which are refused, and how the nodes of one service agree on it.
namespace stairspur::quarantine {

/// The parts of a request that stay equal when the same request is sent again. Attempt ids, deadlines and the host where the
/// request entered differ each time and are left out.
struct RequestIdentity
{
    std::string_view service;
    /// Included so that no caller can get another caller's request suspected.
    std::string_view caller;
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path with query string.
    std::string_view body;
};

/// 128 bits of the SHA-256 of a request. It is equal on every host, and no caller can construct a request whose fingerprint
/// collides with that of another request.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestFingerprint &) const = default;

    /// Returns the first 12 hexadecimal digits, by which operators refer to the request.
    [[nodiscard]] auto name() const -> std::string;
};

/// Returns the fingerprint of a request.
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
