#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/keyed/Replica.h>

/// Where a key belongs. The same on every host that has the same configuration.
namespace stairspur::keyed {

/// The failure domain that the key names itself by a `domain/` prefix, if that domain is configured. Such a key never
/// moves when a caller's home changes.
auto explicitHomeOf(std::string_view key, const std::vector<std::string> &domains)
        -> std::optional<std::string>;

/// The home failure domain of `key`: its own prefix, else `callerHome` when that is a configured domain, else a
/// rendezvous hash over `domains`, so that a new domain takes over no more keys than its share. Throws InputError when
/// `domains` is empty.
auto homeOf(std::string_view key, std::string_view callerHome,
            const std::vector<std::string> &domains) -> std::string;

/// The name under which a caller's key is recorded: two callers that choose the same key do not meet.
auto scopedKey(std::string_view caller, std::string_view key) -> std::string;

/// The slot of a scoped key among `slots` (at least 1) of its service and home domain.
auto slotOf(std::string_view service, std::string_view scopedKey, std::uint32_t slots)
        -> std::uint32_t;

/// When a key that ends in a UUID of version 7 (RFC 9562, section 5.7) was minted; nothing for any other key.
auto mintTimeOf(std::string_view key) -> std::optional<WallMilliseconds>;

} // namespace stairspur::keyed
