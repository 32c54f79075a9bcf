#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <stairspur/config/Sections.h>

namespace stairspur::config {

/// Puts a configuration together from sections and takes changes of a few of them, so that a change costs the reading
/// of what it touches and not of the whole.
class ConfigurationAssembler
{
public:
    /// Takes new and changed sections and forgets those named in `removed`. Throws SectionError, and then nothing has
    /// changed.
    auto update(const Sections &changed, const std::vector<std::string> &removed = {}) -> void;

    /// The configuration of the present sections. Its order depends on the sections alone. Throws SectionError when one
    /// that every configuration has is missing. References between sections are not checked again: only checked files
    /// are published.
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
