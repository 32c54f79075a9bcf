#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Error.h>

namespace stairspur::config {

/// One fault of a configuration file, with its position and its remedy.
struct Finding
{
    std::string file;
    std::uint32_t line = 0;   ///< Counted from 1; 0 when the fault belongs to no line.
    std::uint32_t column = 0; ///< Counted from 1, in code points.
    std::string problem;
    std::string remedy;

    auto operator==(const Finding &) const -> bool = default;

    /// Returns `file:line:column: problem; remedy`, the format of compilers, so that editors can jump to the position.
    [[nodiscard]] auto toString() const -> std::string;
};

/// Thrown for a configuration that can't be used. Its message is that of the first finding.
class ConfigurationError : public InputError
{
public:
    /// `findings` has at least one element.
    explicit ConfigurationError(std::vector<Finding> findings);

    /// Returns all faults, in the order of the file.
    [[nodiscard]] auto findings() const -> const std::vector<Finding> & { return m_findings; }

private:
    std::vector<Finding> m_findings;
};

} // namespace stairspur::config
