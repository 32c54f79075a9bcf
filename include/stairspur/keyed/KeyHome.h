#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/keyed/Replica.h>

/// Functions that compute where a key is recorded. Every host with the same configuration gets the same result.
namespace stairspur::keyed {

/// Returns the failure domain in the `domain/` prefix of `key`, if that domain is configured. The home of such a key
/// stays the same when its caller's home changes.
auto explicitHomeOf(std::string_view key, const std::vector<std::string> &domains)
        -> std::optional<std::string>;

/// Returns the home failure domain of `key`: its own prefix, else `callerHome` when that is a configured domain, else
/// the choice of a rendezvous hash over `domains`, so that a new domain takes over only its share of the keys. Throws
/// InputError when `domains` is empty.
auto homeOf(std::string_view key, std::string_view callerHome,
            const std::vector<std::string> &domains) -> std::string;

/// Returns the name under which a caller's key is recorded. It includes the caller, so that the same key of two
/// callers has two records.
auto scopedKey(std::string_view caller, std::string_view key) -> std::string;

/// Returns the slot of a scoped key among the `slots` (at least 1) of its service and home domain.
auto slotOf(std::string_view service, std::string_view scopedKey, std::uint32_t slots)
        -> std::uint32_t;

/// Returns the time at which a key that ends in a UUID of version 7 (RFC 9562, section 5.7) was minted, in
/// milliseconds since the Unix epoch; std::nullopt for any other key.
auto mintTimeOf(std::string_view key) -> std::optional<WallMilliseconds>;

} // namespace stairspur::keyed
