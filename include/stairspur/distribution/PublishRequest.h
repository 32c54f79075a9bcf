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
    std::string applyId; ///< Unique id of the run.
    std::string appliedBy;
    std::int64_t wallClockMs = 0; ///< Applier's wall clock in milliseconds since 1970.
    std::optional<std::uint64_t>
            expectedVersion; ///< Version that must be in force for the apply to proceed.
    std::uint64_t minimumVersion =
            1; ///< Lower bound of the new version, above that of the nodes if a store was emptied.
};

} // namespace stairspur::distribution
