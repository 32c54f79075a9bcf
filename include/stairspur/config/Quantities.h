#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <stairspur/core/Time.h>

/// Text format of durations and sizes in files, flags and environment variables.
namespace stairspur::config {

/// Reads a whole number with its unit: "500us", "250ms", "2s", "10m" or "1h". Returns nothing for any
/// other text and for a value that doesn't fit into Duration.
auto parseDuration(std::string_view text) -> std::optional<Duration>;

/// Reads a whole number of bytes with its unit: "512B", "64KiB", "8MiB" or "1GiB". Returns nothing for any other text.
auto parseSize(std::string_view text) -> std::optional<std::uint64_t>;

/// Formats a duration as a whole number of the largest possible unit.
auto formatDuration(Duration duration) -> std::string;

/// Formats a size as a whole number of the largest possible unit.
auto formatSize(std::uint64_t bytes) -> std::string;

} // namespace stairspur::config
