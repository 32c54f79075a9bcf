#pragma once

#include <array>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>

namespace stairspur {

/// Names of an enumeration's values, in the order of the values, which are consecutive from 0.
/// Specialise `enumNames<E>` next to the enumeration, as a `constexpr std::array` of string views.
template <typename Enum>
inline constexpr auto enumNames = nullptr;

template <typename Enum>
concept NamedEnum = requires { enumNames<Enum>.size(); };

/// Returns the name of `value` as logs, metrics and headers show it, or "invalid" for a value without a name.
template <NamedEnum Enum>
constexpr auto nameOf(Enum value) -> std::string_view
{
    const auto index = static_cast<std::size_t>(value);
    return index < enumNames<Enum>.size() ? enumNames<Enum>[index] : std::string_view("invalid");
}

/// Returns the value with this name, or nullopt.
template <NamedEnum Enum>
constexpr auto fromName(std::string_view name) -> std::optional<Enum>
{
    for (std::size_t index = 0; index < enumNames<Enum>.size(); ++index) {
        if (enumNames<Enum>[index] == name)
            return static_cast<Enum>(index);
    }
    return std::nullopt;
}

} // namespace stairspur
