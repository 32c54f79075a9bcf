#pragma once

#include <string_view>

/// Names of failure domains, classes, services, call paths and callers.
namespace stairspur::config {

/// The rule for names, as remedies of findings show it.
inline constexpr auto NameRemedy =
        std::string_view("use 1 to 63 of a-z, 0-9, '-', '_' and '.', the first no '.'");

/// Returns whether `text` is a valid name. Names are parts of keys of the store, section names and idempotency keys, in
/// all of which '/' has a special meaning.
constexpr auto isName(std::string_view text) -> bool
{
    constexpr auto MaxLength = std::size_t{63};
    constexpr auto Allowed = std::string_view("abcdefghijklmnopqrstuvwxyz0123456789-_.");
    return !text.empty() && text.size() <= MaxLength && text.front() != '.'
           && text.find_first_not_of(Allowed) == std::string_view::npos;
}

} // namespace stairspur::config
