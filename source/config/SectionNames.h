#pragma once

#include <string>
#include <string_view>

#include <stairspur/config/Sections.h>
#include <stairspur/core/Hash.h>

/// The names of sections.
namespace stairspur::config {

inline constexpr auto ClassesSection = std::string_view("classes");
inline constexpr auto DomainsSection = std::string_view("domains");
inline constexpr auto RetrySection = std::string_view("retry");
inline constexpr auto ServicePrefix = std::string_view("service/");
inline constexpr auto PathsPrefix = std::string_view("paths/");
inline constexpr auto CallersPrefix = std::string_view("callers/");
inline constexpr auto RoutesPrefix = std::string_view("routes/");
inline constexpr auto IngressSection = std::string_view("ingress");

/// Returns the bucket of a caller, a call path or a route, which is the last part of its section's name.
inline auto bucketOf(std::string_view name) -> std::string
{
    return std::to_string(hash64(name) % SectionBuckets);
}

} // namespace stairspur::config
