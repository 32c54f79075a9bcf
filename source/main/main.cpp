#include <iostream>

#include <unistd.h>

#include <stairspur/cli/Run.h>
#include <stairspur/node/NodeSettings.h>

using namespace stairspur;

auto main(int count, char **values) -> int
{
    const auto arguments = cli::Arguments(values + (count > 0 ? 1 : 0), values + count);
    return cli::run(arguments, cli::readEnvironment(environ), {std::cin, std::cout, std::cerr},
                    node::runNode);
}
