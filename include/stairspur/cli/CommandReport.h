#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include <stairspur/cli/ExitCode.h>
#include <stairspur/core/Error.h>

namespace stairspur::cli {

/// What a command found or did, for readers and for scripts.
struct CommandReport
{
    ExitCode exitCode = ExitCode::Ok;
    std::string text;    ///< Whole lines.
    nlohmann::json json; ///< An object; `outcome` is added to it from the exit code.
};

/// A command that could not do its work. Its exit code says how.
class CommandError : public Error
{
public:
    CommandError(ExitCode exitCode, const std::string &problem, const std::string &remedy)
        : Error(problem, remedy)
        , m_exitCode(exitCode)
    {}

    [[nodiscard]] auto exitCode() const -> ExitCode { return m_exitCode; }

private:
    ExitCode m_exitCode;
};

} // namespace stairspur::cli
