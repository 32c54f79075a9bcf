#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <stairspur/core/Time.h>

/// Durations and sizes as files, flags and environment variables write them.
namespace stairspur::config {

/// Reads a whole number with its unit: "500us", "250ms", "2s", "10m" or "1h". Nothing on anything else, and on what
/// does not fit.
auto parseDuration(std::string_view text) -> std::optional<Duration>;

/// Reads a whole number of bytes with its unit: "512B", "64KiB", "8MiB" or "1GiB". Nothing on anything else.
auto parseSize(std::string_view text) -> std::optional<std::uint64_t>;

/// Writes a duration in the greatest unit that holds it whole.
auto formatDuration(Duration duration) -> std::string;

/// Writes a size in the greatest unit that holds it whole.
auto formatSize(std::uint64_t bytes) -> std::string;

} // namespace stairspur::config
