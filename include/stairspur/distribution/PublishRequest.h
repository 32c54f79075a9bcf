#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <stairspur/config/Sections.h>

namespace stairspur::distribution {

/// One run of `apply`.
struct PublishRequest
{
    config::Sections sections;
    std::string applyId; ///< Unique for each run.
    std::string appliedBy;
    std::int64_t wallClockMs = 0;
    std::optional<std::uint64_t> expectedVersion; ///< Refuse unless this version is in force.
    std::uint64_t minimumVersion = 1; ///< Above what nodes have in force, when a store was emptied.
};

} // namespace stairspur::distribution
