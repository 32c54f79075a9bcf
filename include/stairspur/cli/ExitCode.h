#pragma once

#include <array>
#include <string_view>

#include <stairspur/core/EnumNames.h>

namespace stairspur::cli {

/// How a command ended, for scripts. The values stay what they are.
enum class ExitCode {
    Ok = 0,
    Failed = 1,      ///< Refused, or it did not work: a faulty file, a node that will not drain.
    Usage = 2,       ///< A command, flag, variable or operand that cannot be used.
    Conflict = 3,    ///< Another configuration came into force first.
    Unreachable = 4, ///< The store or the node gave no answer; nothing was changed.
    Unknown = 5,     ///< No answer came to a change, which may have been made.
};

} // namespace stairspur::cli

template <>
inline constexpr auto stairspur::enumNames<stairspur::cli::ExitCode> =
        std::array<std::string_view, 6>{"ok",       "failed",      "usage",
                                        "conflict", "unreachable", "unknown"};
