#include <stairspur/cli/Run.h>

#include <cassert>

#include <stairspur/cli/CheckCommand.h>
#include <stairspur/cli/CommandReport.h>
#include <stairspur/cli/DrainCommand.h>
#include <stairspur/cli/Flags.h>
#include <stairspur/cli/HelpCommand.h>
#include <stairspur/cli/NodeSettingsReader.h>
#include <stairspur/cli/ReleaseCommand.h>
#include <stairspur/cli/StatusCommand.h>
#include <stairspur/cli/StatusWatch.h>
#include <stairspur/cli/StoreCommands.h>
#include <stairspur/cli/Version.h>

namespace stairspur::cli {

auto readEnvironment(const char *const *variables) -> Environment
{
    auto environment = Environment();
    for (; variables && *variables; ++variables) {
        const auto variable = std::string(*variables);
        const auto split = variable.find('=');
        if (split != std::string::npos)
            environment.emplace(variable.substr(0, split), variable.substr(split + 1));
    }
    return environment;
}

static auto reportVersion() -> CommandReport
{
    const auto version = std::string(ProgramVersion);
    return {ExitCode::Ok, "stairspur " + version + '\n', {{"version", version}}};
}

static auto runStatusOnceOrWatch(const Streams &streams) -> CommandReport
{
    if (!FLAGS_watch)
        return runStatus();
    if (FLAGS_json)
        throw SettingError("--watch does not go together with --json",
                           "leave out one of the two; for scripts, read GET /status");
    return watchReports(runStatus, makeSecondPacer(), streams.out);
}

/// Every command but `node`, which reports by its log.
static auto runOperatorCommand(const CommandLine &line, const Streams &streams,
                               const std::string &bootHelp) -> CommandReport
{
    switch (line.command) {
    case Command::Check:
        return checkText(readFile(line.operand, streams.in), line.operand);
    case Command::Status:
        return runStatusOnceOrWatch(streams);
    case Command::Drain:
        return runDrain();
    case Command::Release:
        return runRelease(line.operand);
    case Command::Version:
        return reportVersion();
    case Command::Help:
        return reportHelp(line.operand, bootHelp);
    case Command::Apply:
        return runApply(line.operand, streams.in);
    case Command::Node:
        break;
    }
    assert(false && "node is run by runCommand");
    return {};
}

static auto writeReport(const CommandReport &report, const Streams &streams) -> int
{
    if (FLAGS_json) {
        auto json = report.json;
        json["outcome"] = nameOf(report.exitCode);
        streams.out << json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    } else {
        streams.out << report.text;
        streams.error << report.problems;
    }
    return static_cast<int>(report.exitCode);
}

static auto writeError(ExitCode exitCode, const std::string &message, const Streams &streams) -> int
{
    // A command line that is wrong may not even say in which form it wants its result.
    if (exitCode == ExitCode::Usage) {
        streams.error << "stairspur: " << message << '\n';
        return static_cast<int>(exitCode);
    }
    return writeReport({exitCode, {}, {{"error", message}}, "stairspur: " + message + '\n'},
                       streams);
}

static auto runCommand(const Arguments &arguments, const Environment &environment,
                       const Streams &streams, const NodeRunner &runNode, const BootNode &bootNode)
        -> int
{
    const auto line = parseCommandLine(arguments, environment);
    applyAssignments(line.assignments);
    if (line.command == Command::Node && bootNode.run)
        return bootNode.run();
    if (line.command == Command::Node)
        return runNode(readNodeSettings());
    return writeReport(runOperatorCommand(line, streams, bootNode.help), streams);
}

auto run(const Arguments &arguments, const Environment &environment, const Streams &streams,
         const NodeRunner &runNode, const BootNode &bootNode) -> int
{
    try {
        return runCommand(arguments, environment, streams, runNode, bootNode);
    } catch (const SettingError &error) {
        return writeError(ExitCode::Usage, error.what(), streams);
    } catch (const CommandError &error) {
        return writeError(error.exitCode(), error.what(), streams);
    } catch (const std::exception &error) {
        return writeError(ExitCode::Failed, error.what(), streams);
    }
}

} // namespace stairspur::cli
