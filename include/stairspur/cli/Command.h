#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

#include <stairspur/core/EnumNames.h>

namespace stairspur::cli {

enum class Command {
    Node,
    Apply,
    Check,
    Status,
    Drain,
    Release,
    Version,
    Help,
};

/// What a command takes, for the command line and its help.
struct CommandDescription
{
    Command command = Command::Help;
    std::string_view operand; ///< Its one operand's name; empty: it takes none.
    bool isOperandNeeded = false;
    std::string_view summary;
    std::span<const std::string_view> flags; ///< As they are written, without `--`.
};

/// Every command, in the order of the help.
auto commandDescriptions() -> std::span<const CommandDescription>;

auto describe(Command command) -> const CommandDescription &;

/// Whether `command` takes the flag `flag`.
auto hasFlag(const CommandDescription &command, std::string_view flag) -> bool;

} // namespace stairspur::cli

template <>
inline constexpr auto stairspur::enumNames<stairspur::cli::Command> =
        std::array<std::string_view, 8>{"node",  "apply",   "check",   "status",
                                        "drain", "release", "version", "help"};
