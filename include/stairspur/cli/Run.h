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

/// Runs a node whose settings come from the platform's settings file instead of flags.
using BootNodeRunner = std::function<int()>;

/// The environment of a process, as `main` gets it.
auto readEnvironment(const char *const *variables) -> Environment;

/// Runs one command and returns its exit code (ExitCode). What it found goes to `out`, what was wrong to `error`, or
/// with `--json` one object to `out`. A node is run by `runBootNode` if there is one.
auto run(const Arguments &arguments, const Environment &environment, const Streams &streams,
         const NodeRunner &runNode, const BootNodeRunner &runBootNode = {}) -> int;

} // namespace stairspur::cli
