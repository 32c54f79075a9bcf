#include <stairspur/config/Finding.h>

#include <cassert>

namespace stairspur::config {

auto Finding::toString() const -> std::string
{
    return file + ':' + std::to_string(line) + ':' + std::to_string(column) + ": " + problem + "; "
           + remedy;
}

static auto firstOf(const std::vector<Finding> &findings) -> const Finding &
{
    assert(!findings.empty());
    return findings.front();
}

static auto problemOf(const Finding &finding) -> std::string
{
    return finding.file + ':' + std::to_string(finding.line) + ':' + std::to_string(finding.column)
           + ": " + finding.problem;
}

ConfigurationError::ConfigurationError(std::vector<Finding> findings)
    : InputError(problemOf(firstOf(findings)), findings.front().remedy)
    , m_findings(std::move(findings))
{}

} // namespace stairspur::config
