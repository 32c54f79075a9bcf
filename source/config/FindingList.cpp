#include "FindingList.h"

#include <algorithm>
#include <tuple>

namespace stairspur::config {

auto FindingList::add(const toml::source_position &position, std::string problem,
                      std::string remedy) -> void
{
    m_findings.push_back(
            {m_file, position.line, position.column, std::move(problem), std::move(remedy)});
}

auto FindingList::take() -> std::vector<Finding>
{
    std::ranges::stable_sort(m_findings, {},
                             [](const auto &it) { return std::tuple(it.line, it.column); });
    return std::exchange(m_findings, {});
}

} // namespace stairspur::config
