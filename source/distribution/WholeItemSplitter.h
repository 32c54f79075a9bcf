#pragma once

#include <stairspur/distribution/DistributionService.h>
#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/HeadFollower.h>

namespace stairspur::distribution {

/// A whole item in the form that nodes exchange: a head and all blobs that it refers to.
struct SplitItem
{
    Head head;
    Blobs blobs;
};

/// Splits an item. The same item results in the same head on every host.
auto splitWholeItem(const WholeItem &item) -> SplitItem;

} // namespace stairspur::distribution
