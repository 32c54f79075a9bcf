#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Error.h>

namespace stairspur::config {

/// One fault of a configuration file, with its place and its remedy.
struct Finding
{
    std::string file;
    std::uint32_t line = 0;   ///< From 1; 0 when the fault belongs to no line.
    std::uint32_t column = 0; ///< From 1, in code points.
    std::string problem;
    std::string remedy;

    auto operator==(const Finding &) const -> bool = default;

    /// `file:line:column: problem; remedy`, as compilers print theirs, so that editors can jump to it.
    [[nodiscard]] auto toString() const -> std::string;
};

/// A configuration that cannot be used. Its message is the first finding's.
class ConfigurationError : public InputError
{
public:
    /// `findings` holds at least one.
    explicit ConfigurationError(std::vector<Finding> findings);

    /// Every fault, in the order of the file.
    [[nodiscard]] auto findings() const -> const std::vector<Finding> & { return m_findings; }

private:
    std::vector<Finding> m_findings;
};

} // namespace stairspur::config
