#include <criterion/criterion.h>

#include <string>
#include <vector>

#include <stairspur/transport/EndToEnd.h>

using namespace stairspur::transport;

/// Guards against a field that is lost because its name is a part of another one in the Connection field.
Test(EndToEnd, onlyWholeNamesInTheConnectionFieldEndAtThisHop)
{
    auto headers = HeaderList();
    headers.add("Connection", "keep-alive, X-Hop");
    headers.add("connection", "x-second");
    for (const auto *it : {"Alive", "Keep", "X", "X-Hop", "X-Second", "X-Hop-Count", "Keep-Alive"})
        headers.add(it, "value");
    auto names = std::vector<std::string>();
    for (const auto &it : endToEndFields(headers))
        names.push_back(it.name);
    cr_assert(names == std::vector<std::string>({"Alive", "Keep", "X", "X-Hop-Count"}));
}
