#pragma once

#include <stairspur/distribution/DistributionService.h>
#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/HeadFollower.h>

namespace stairspur::distribution {

/// A whole item in the form that nodes exchange: a head, and every blob that the head leads to.
struct SplitItem
{
    Head head;
    Blobs blobs;
};

/// Splits an item. The same item gives the same head on every host.
auto splitWholeItem(const WholeItem &item) -> SplitItem;

} // namespace stairspur::distribution
