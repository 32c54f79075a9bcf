#pragma once

#include <functional>
#include <istream>
#include <ostream>
#include <string>

#include <stairspur/cli/CommandLine.h>
#include <stairspur/node/NodeSettings.h>

/// The program `stairspur`: its commands, flags and environment variables.
namespace stairspur::cli {

/// Where a command reads and writes.
struct Streams
{
    std::istream &in;
    std::ostream &out;
    std::ostream &error;
};

/// Runs a node until it has ended, and returns the exit code of the process.
using NodeRunner = std::function<int(const node::NodeSettings &)>;

/// A node whose settings come from a settings file of its surroundings instead of flags.
struct BootNode
{
    std::function<int()> run; ///< Empty: no file is named, and flags hold.
    std::string help;         ///< How a file is named: a paragraph of `help node`.
};

/// The environment of a process, as `main` gets it.
auto readEnvironment(const char *const *variables) -> Environment;

/// Runs one command and returns its exit code (ExitCode). What it found goes to `out`, what was wrong to `error`, or
/// with `--json` one object to `out`. A node is run by `bootNode` if that has a runner.
auto run(const Arguments &arguments, const Environment &environment, const Streams &streams,
         const NodeRunner &runNode, const BootNode &bootNode = {}) -> int;

} // namespace stairspur::cli
