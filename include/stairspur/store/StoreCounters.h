#pragma once

#include <array>
#include <cstdint>

#include <stairspur/store/StoreTypes.h>

namespace stairspur::store {

/// Calls to the store since the process started, by kind and outcome. Each attempt counts as one call.
struct StoreCounters
{
    std::array<std::array<std::uint64_t, enumNames<StoreStatus>.size()>,
               enumNames<StoreCall>.size()>
            calls{};
    std::uint64_t delayed = 0;       ///< Number of calls that waited for the rate limit.
    std::uint64_t watchMessages = 0; ///< Number of watch messages that contained events.

    /// Returns the number of calls of one kind and outcome.
    [[nodiscard]] auto count(StoreCall call, StoreStatus status) const -> std::uint64_t
    {
        return calls[static_cast<std::size_t>(call)][static_cast<std::size_t>(status)];
    }
};

} // namespace stairspur::store
