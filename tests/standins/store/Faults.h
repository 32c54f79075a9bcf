#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <stairspur/core/EnumNames.h>

namespace stairspur::standin {

/// What the store stand-in does wrong.
enum class FaultMode {
    Ok,
    Down,        ///< Refuses connections and closes those that are open.
    Hang,        ///< Takes requests, applies nothing and never answers.
    Slow,        ///< Answers after a delay.
    LostAnswer,  ///< Applies the request, then closes the connection.
    Unavailable, ///< Answers 503 and applies nothing.
    SilentWatch, ///< Watches stay open and say nothing.
    BreakWatch,  ///< Closes every watch; new ones work.
    LapseLeases, ///< Ends every lease at once; then works.
};

/// The fault in force.
struct Fault
{
    FaultMode mode = FaultMode::Ok;
    std::uint32_t delayMs = 0; ///< For `slow`.
    std::uint32_t count = 0;   ///< Requests that it still strikes; 0: all.
    std::string only;          ///< The one kind of request that it strikes ("txn"); empty: all.
};

/// How often each kind of request came. A watch counts once when it opens, and once for each message.
using Counters = std::map<std::string, std::uint64_t>;

} // namespace stairspur::standin

template <>
inline constexpr auto stairspur::enumNames<stairspur::standin::FaultMode> =
        std::array<std::string_view, 9>{"ok",           "down",        "hang",
                                        "slow",         "lost-answer", "unavailable",
                                        "silent-watch", "break-watch", "lapse-leases"};
