#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <stairspur/core/Hash.h>
#include <stairspur/core/Hex.h>
#include <stairspur/core/Random.h>

namespace stairspur::standins {

/// A UUID of version 7 (RFC 9562, section 5.7) with these random bits.
inline auto formatUuid7(std::uint64_t milliseconds, std::uint64_t randomA, std::uint64_t randomB)
        -> std::string
{
    const auto high = toHex((milliseconds << 16U) | 0x7000U | (randomA & 0xfffU));
    const auto low = toHex((randomB & 0x3fffffffffffffffU) | 0x8000000000000000U);
    return high.substr(0, 8) + "-" + high.substr(8, 4) + "-" + high.substr(12, 4) + "-"
           + low.substr(0, 4) + "-" + low.substr(4);
}

/// A fresh key that carries the time of its making.
inline auto makeIdempotencyKey(Random &random) -> std::string
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return formatUuid7(static_cast<std::uint64_t>(milliseconds), random(), random());
}

/// The key of a deeper call: the same for each run of the parent, so that a parent that runs again repeats no deeper
/// work. It keeps the parent's prefix of a home domain and its time.
inline auto deriveIdempotencyKey(const std::string &parent, const std::string &service)
        -> std::string
{
    const auto slash = parent.rfind('/');
    const auto prefix = slash == std::string::npos ? std::string() : parent.substr(0, slash + 1);
    const auto uuid = parent.substr(prefix.size());
    const auto time = uuid.substr(0, 8) + (uuid.size() > 13 ? uuid.substr(9, 4) : "");
    return prefix
           + formatUuid7(std::strtoull(time.c_str(), nullptr, 16), hash64(service, 1),
                         hash64(uuid + service, 2));
}

} // namespace stairspur::standins
