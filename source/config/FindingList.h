#pragma once

#include <string>
#include <vector>

#include <stairspur/config/Finding.h>

#include "Toml.h"

namespace stairspur::config {

/// Collects the findings of one file.
class FindingList
{
public:
    explicit FindingList(std::string file)
        : m_file(std::move(file))
    {}

    auto add(const toml::source_position &position, std::string problem, std::string remedy)
            -> void;

    /// Returns all collected findings, in the order of the file, and removes them from the list.
    [[nodiscard]] auto take() -> std::vector<Finding>;

private:
    std::string m_file;
    std::vector<Finding> m_findings;
};

} // namespace stairspur::config
