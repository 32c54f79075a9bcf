#pragma once

#include <cstdint>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Time.h>

namespace stairspur::overload {

/// What is compared. All are built from the same parts.
enum class Policy {
    Full,
    Fifo,              ///< FIFO, no limit, three retries per hop.
    FixedLimits,       ///< The slots as a fixed limit, a bounded FIFO queue, no class.
    WithoutFloors,     ///< Nobody hears of floors.
    WithoutHashLevels, ///< The class alone is the level.
};

/// What makes up a policy besides its gate.
struct PolicyTraits
{
    bool hasFloors = true;
    bool hasHashLevels = true;
    bool hasRetryBudget = true;      ///< Ledger and token bucket; else `retriesPerHop`.
    std::uint32_t retriesPerHop = 0; ///< After any end but an answer.
    Duration attemptTimeout{0}; ///< After which a hop gives up one attempt; zero: the deadline.
};

inline auto traitsOf(Policy policy) -> PolicyTraits
{
    auto traits = PolicyTraits();
    switch (policy) {
    case Policy::Full:
        break;
    case Policy::Fifo:
        traits = {false, false, false, 3, Duration(500'000)};
        break;
    case Policy::FixedLimits:
        traits.hasFloors = false;
        traits.hasHashLevels = false;
        break;
    case Policy::WithoutFloors:
        traits.hasFloors = false;
        break;
    case Policy::WithoutHashLevels:
        traits.hasHashLevels = false;
        break;
    }
    return traits;
}

} // namespace stairspur::overload

template <>
inline constexpr auto stairspur::enumNames<stairspur::overload::Policy> =
        std::array<std::string_view, 5>{"full", "fifo", "fixed-limits", "without-floors",
                                        "without-hash-levels"};
