#pragma once

#include <cstdint>
#include <string>

#include <stairspur/core/Time.h>

namespace stairspur::store {

/// Address of the store and limits of the calls to it.
struct StoreSettings
{
    std::string address = "127.0.0.1"; ///< IP address of the store.
    std::uint16_t port = 2379;
    Duration timeout{2'000'000};      ///< Timeout of one attempt at a call.
    std::uint32_t callsPerSecond = 5; ///< Rate limit over all kinds of call.
    std::uint32_t burst = 20;         ///< Maximum number of calls that the rate limit saves up.
    std::uint32_t attempts = 3;   ///< Maximum number of attempts at one call where a retry is safe.
    Duration minBackoff{100'000}; ///< Backoff before the second attempt.
    Duration maxBackoff{5'000'000};        ///< Maximum backoff before any attempt.
    Duration watchIdleTimeout{60'000'000}; ///< Time without data after which a watch is ended.
    std::uint32_t maxWatchLineBytes = 4U << 20U; ///< Maximum size of one message of a watch.
};

/// Returns settings with the address and port of a URL such as "http://192.0.2.1:2379". Throws SettingError if the URL
/// is malformed.
auto storeSettingsFromUrl(const std::string &url) -> StoreSettings;

} // namespace stairspur::store
