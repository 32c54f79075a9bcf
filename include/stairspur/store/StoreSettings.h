#pragma once

#include <cstdint>
#include <string>

#include <stairspur/core/Time.h>

namespace stairspur::store {

struct StoreSettings
{
    std::string address = "127.0.0.1"; ///< IP number of the store.
    std::uint16_t port = 2379;
    Duration timeout{2'000'000};      ///< For one attempt at one call.
    std::uint32_t callsPerSecond = 5; ///< At most, all kinds together.
    std::uint32_t burst = 20;         ///< Calls saved up at most.
    std::uint32_t attempts = 3;       ///< At one call, where sending it again is safe.
    Duration minBackoff{100'000};     ///< Before the second attempt.
    Duration maxBackoff{5'000'000};
    Duration watchIdleTimeout{
            60'000'000}; ///< A watch that says nothing for so long is opened anew.
    std::uint32_t maxWatchLineBytes = 4U << 20U;
};

/// Reads "http://192.0.2.1:2379" into address and port. Throws SettingError.
auto storeSettingsFromUrl(const std::string &url) -> StoreSettings;

} // namespace stairspur::store
