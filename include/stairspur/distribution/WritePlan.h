#pragma once

#include <vector>

#include <stairspur/config/Sections.h>
#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/PublishRequest.h>
#include <stairspur/store/StoreTypes.h>

namespace stairspur::distribution {

/// Sections that one write of the head deletes at most; the others wait for the next.
inline constexpr auto MaxDeletions = std::size_t{40};

/// What was in force when an apply began.
struct WriteBase
{
    Head head; ///< Version 0: nothing.
    ListRoot root;
    config::SectionHashes hashes; ///< Of the buckets that differ from the new ones.
};

/// What an apply writes.
struct WritePlan
{
    Head head;
    std::vector<store::Operation> missing;   ///< Values by hash that the store lacks.
    std::vector<store::Operation> deletions; ///< Of values that nobody needs any more.
};

/// Works out the step from `base` to the configuration of `request`.
auto planWrites(const WriteBase &base, const PublishRequest &request, bool keepsRetired)
        -> WritePlan;

} // namespace stairspur::distribution
