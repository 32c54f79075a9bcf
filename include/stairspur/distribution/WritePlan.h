#pragma once

#include <vector>

#include <stairspur/config/Sections.h>
#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/PublishRequest.h>
#include <stairspur/store/StoreTypes.h>

namespace stairspur::distribution {

/// Maximum number of sections that one write of the head deletes. Later writes delete the others.
inline constexpr auto MaxDeletions = std::size_t{40};

/// State of the store when an apply began.
struct WriteBase
{
    Head head; ///< Head in force; version 0 if there is none.
    ListRoot root;
    config::SectionHashes hashes; ///< Hashes in the buckets that differ from the new ones.
};

/// Writes of an apply.
struct WritePlan
{
    Head head;
    std::vector<store::Operation> missing;   ///< Writes of values that the store lacks.
    std::vector<store::Operation> deletions; ///< Deletions of values that are no longer needed.
};

/// Returns the writes that lead from `base` to the configuration of `request`.
auto planWrites(const WriteBase &base, const PublishRequest &request, bool keepsRetired)
        -> WritePlan;

} // namespace stairspur::distribution
