#pragma once

#include <functional>
#include <istream>
#include <ostream>

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

/// The environment of a process, as `main` gets it.
auto readEnvironment(const char *const *variables) -> Environment;

/// Runs one command and returns its exit code (ExitCode). What it found goes to `out`, what was wrong to `error`, or
/// with `--json` one object to `out`.
auto run(const Arguments &arguments, const Environment &environment, const Streams &streams,
         const NodeRunner &runNode) -> int;

} // namespace stairspur::cli
