#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <stairspur/config/Sections.h>

namespace stairspur::config {

/// Builds a configuration from its sections. Single sections can be replaced, so that the cost of a change depends on
/// the changed sections and not on the size of the configuration.
class ConfigurationAssembler
{
public:
    /// Adds new and changed sections and removes those named in `removed`. Throws SectionError; the assembler is
    /// unchanged then.
    auto update(const Sections &changed, const std::vector<std::string> &removed = {}) -> void;

    /// Returns the configuration of the current sections. Its order depends on the sections alone. Throws SectionError
    /// when a section that every configuration has is missing. References between sections aren't checked again, since
    /// only checked files are published.
    [[nodiscard]] auto assemble() const -> Configuration;

private:
    using Part = std::variant<std::vector<PriorityClass>, std::vector<FailureDomain>, RetryLimits,
                              Service, std::vector<CallPath>, std::vector<Caller>,
                              std::vector<Route>, IngressLimits>;

    static auto readPart(std::string_view section, std::string_view bytes) -> Part;

    template <typename Value>
    [[nodiscard]] auto neededPart(std::string_view section) const -> const Value &;

    std::map<std::string, Part, std::less<>> m_parts;
};

} // namespace stairspur::config
