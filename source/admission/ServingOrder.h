#pragma once

#include <compare>
#include <cstdint>

#include <stairspur/core/Level.h>

namespace stairspur::admission {

/// Where a call stands among those that a gate may serve; the greater one is served first.
///
/// Each class has two bands. The upper one holds its calls by their level. The lower one holds those that yield: calls of
/// kinds that cost a multiple of what others of the same class cost here, see RequestCosts. Where no kind costs more than
/// others the lower bands are empty, and the order is that of the levels.
struct ServingOrder
{
    std::uint16_t value = 0;

    auto operator<=>(const ServingOrder &) const = default;
};

inline constexpr auto OrdersPerBand = HashesPerClass;
inline constexpr auto BandsPerClass = 2U;
inline constexpr auto OrdersPerClass = OrdersPerBand * BandsPerClass;

inline constexpr auto LowestOrder = ServingOrder{0};
/// One above the order of every call.
inline constexpr auto ClosedOrder =
        ServingOrder{static_cast<std::uint16_t>(ClosedLevel.value * BandsPerClass)};

/// The order of a call whose kind has its `yielding` lowest levels in the lower band. Within a kind it rises with the level.
constexpr auto servingOrderOf(Level level, std::uint32_t yielding) -> ServingOrder
{
    const auto base = level.value / HashesPerClass * OrdersPerClass;
    const auto hash = level.value % HashesPerClass;
    const auto staying = HashesPerClass - yielding;
    const auto offset = hash < yielding
                                ? hash * OrdersPerBand / yielding
                                : OrdersPerBand + (hash - yielding) * OrdersPerBand / staying;
    return ServingOrder{static_cast<std::uint16_t>(base + offset)};
}

/// The lowest level whose order is `order` or above, for calls of a kind with `yielding` levels in the lower band.
constexpr auto lowestLevelAt(ServingOrder order, std::uint32_t yielding) -> Level
{
    const auto base = order.value / OrdersPerClass * HashesPerClass;
    const auto offset = order.value % OrdersPerClass;
    const auto staying = HashesPerClass - yielding;
    const auto roundedUp = [](std::uint32_t part) {
        return (part + OrdersPerBand - 1) / OrdersPerBand;
    };
    const auto hash = offset <= OrdersPerBand
                              ? roundedUp(offset * yielding)
                              : yielding + roundedUp((offset - OrdersPerBand) * staying);
    return Level{static_cast<std::uint16_t>(base + hash)};
}

} // namespace stairspur::admission
