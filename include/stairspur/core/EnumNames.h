#pragma once

#include <array>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>

namespace stairspur {

/// The table of names of an enumeration, in the order of its values from 0 on.
/// Specialise `enumNames<E>` next to the enumeration, as a `constexpr std::array` of string views.
template <typename Enum>
inline constexpr auto enumNames = nullptr;

template <typename Enum>
concept NamedEnum = requires { enumNames<Enum>.size(); };

/// The name of a value, as logs, metrics and headers show it.
template <NamedEnum Enum>
constexpr auto nameOf(Enum value) -> std::string_view
{
    const auto index = static_cast<std::size_t>(value);
    return index < enumNames<Enum>.size() ? enumNames<Enum>[index] : std::string_view("invalid");
}

/// The value that bears `name`, or nothing.
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
