#pragma once

#include <compare>
#include <cstdint>

#include <stairspur/core/Level.h>

namespace stairspur::admission {

/// Rank of a call among the calls that a gate may serve. The call with the greatest value is served first.
///
/// Each class has two bands. The upper band contains its calls by their level. The lower band contains the calls that
/// yield: calls of kinds whose cost here is a multiple of that of other kinds of the class, see RequestCosts. Where no
/// kind costs more than others, the lower bands are empty, and the order is that of the levels.
struct ServingOrder
{
    std::uint16_t value = 0;

    auto operator<=>(const ServingOrder &) const = default;
};

inline constexpr auto OrdersPerBand = HashesPerClass;
inline constexpr auto BandsPerClass = 2U;
inline constexpr auto OrdersPerClass = OrdersPerBand * BandsPerClass;

inline constexpr auto LowestOrder = ServingOrder{0};
/// One above the greatest order of any call.
inline constexpr auto ClosedOrder =
        ServingOrder{static_cast<std::uint16_t>(ClosedLevel.value * BandsPerClass)};

/// Returns the order of a call whose kind has its `yieldingLevels` lowest levels in the lower band. Within a kind the
/// order rises with the level.
constexpr auto servingOrderOf(Level level, std::uint32_t yieldingLevels) -> ServingOrder
{
    const auto base = level.value / HashesPerClass * OrdersPerClass;
    const auto hash = level.value % HashesPerClass;
    const auto otherLevels = HashesPerClass - yieldingLevels;
    const auto offset =
            hash < yieldingLevels
                    ? hash * OrdersPerBand / yieldingLevels
                    : OrdersPerBand + (hash - yieldingLevels) * OrdersPerBand / otherLevels;
    return ServingOrder{static_cast<std::uint16_t>(base + offset)};
}

/// Returns the lowest level whose order is `order` or above, for calls of a kind with `yieldingLevels` levels in the lower
/// band.
constexpr auto lowestLevelAt(ServingOrder order, std::uint32_t yieldingLevels) -> Level
{
    const auto base = order.value / OrdersPerClass * HashesPerClass;
    const auto offset = order.value % OrdersPerClass;
    const auto otherLevels = HashesPerClass - yieldingLevels;
    const auto roundedUp = [](std::uint32_t part) {
        return (part + OrdersPerBand - 1) / OrdersPerBand;
    };
    const auto hash = offset <= OrdersPerBand
                              ? roundedUp(offset * yieldingLevels)
                              : yieldingLevels + roundedUp((offset - OrdersPerBand) * otherLevels);
    return Level{static_cast<std::uint16_t>(base + hash)};
}

} // namespace stairspur::admission
