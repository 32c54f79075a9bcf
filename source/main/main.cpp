#include <iostream>

#include <unistd.h>

#include <platform/RunOnPlatform.h>
#include <stairspur/cli/Run.h>
#include <stairspur/node/NodeSettings.h>

using namespace stairspur;

/// Removes the platform's boot variable from `environment` and returns how to run a node from it. A node that the
/// platform starts gets its settings through this variable, in place of flags.
static auto extractBootNode(cli::Environment &environment) -> cli::BootNode
{
    auto node = cli::BootNode{{}, platform::BootHelp};
    if (const auto boot = environment.extract(platform::BootVariable); !boot.empty())
        node.run = [path = boot.mapped()] { return platform::runOnPlatform(path); };
    return node;
}

auto main(int count, char **values) -> int
{
    const auto arguments = cli::Arguments(values + (count > 0 ? 1 : 0), values + count);
    auto environment = cli::readEnvironment(environ);
    const auto bootNode = extractBootNode(environment);
    return cli::run(arguments, environment, {std::cin, std::cout, std::cerr}, node::runNode,
                    bootNode);
}
