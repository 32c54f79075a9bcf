#pragma once

#include <map>
#include <string>
#include <vector>

#include <stairspur/cli/Command.h>
#include <stairspur/core/Error.h>

namespace stairspur::cli {

/// What stands behind the program's name.
using Arguments = std::vector<std::string>;

/// Environment variables by name.
using Environment = std::map<std::string, std::string>;

/// A command line that cannot be understood.
class UsageError : public SettingError
{
public:
    using SettingError::SettingError;
};

/// One value for one flag.
struct Assignment
{
    std::string flag; ///< As it is written, without `--`.
    std::string value;
    std::string origin; ///< `--peer-port` or `STAIRSPUR_PEER_PORT`, for messages.

    auto operator==(const Assignment &) const -> bool = default;
};

struct CommandLine
{
    Command command = Command::Help;
    std::string operand; ///< Empty when there is none.
    /// One for each flag that is set; flags win over the environment.
    std::vector<Assignment> assignments;
};

/// Reads `COMMAND [flags] [operand]`. A flag is written `--flag=VALUE` or `--flag VALUE`; one without a value, such as
/// `--json`, may also be written `--nojson`. Behind `--` stand operands only. Variables that begin with `STAIRSPUR_` set
/// the flags that the command has. Throws UsageError on anything that no command knows.
auto parseCommandLine(const Arguments &arguments, const Environment &environment) -> CommandLine;

/// Gives the flags their values. Throws SettingError on a value that a flag's type cannot hold.
auto applyAssignments(const std::vector<Assignment> &assignments) -> void;

} // namespace stairspur::cli
