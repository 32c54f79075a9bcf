#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

#include <stairspur/core/Hash.h>

/// Configuration files that the tests of this module share.
namespace stairspur::config {

inline const auto smallFileWithoutService = std::string("[[failure-domains]]\nname = \"d\"\n"
                                                        "[[classes]]\nname = \"c\"\n");

/// Six lines with the domain `d`, the class `c` and, as the last table, the service `a`.
inline const auto smallFile = smallFileWithoutService + "[[services]]\nname = \"a\"\n";

inline auto callerText(const std::string &name, const std::string &key) -> std::string
{
    return "[[callers]]\nname = \"" + name + "\"\nkey-sha256 = \"" + sha256Hex(key)
           + "\"\nclasses = [\"c\"]\n";
}

/// Returns the text of a file of the repository, searched for upwards from the test program in the build folder.
inline auto readRepositoryFile(const std::string &name) -> std::string
{
    auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    while (!std::filesystem::exists(folder / name) && folder.has_relative_path())
        folder = folder.parent_path();
    auto file = std::ifstream(folder / name);
    if (!file)
        throw std::runtime_error("found no file " + name + " above the test program");
    auto text = std::ostringstream();
    text << file.rdbuf();
    return text.str();
}

} // namespace stairspur::config
