#pragma once

#include <optional>
#include <string>
#include <vector>

#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/HeadFollower.h>
#include <stairspur/platform/EtcdStore.h>
#include <stairspur/transport/Task.h>

namespace stairspur::distribution {

/// What a read of the head gave; `isOk` with no head: there is none in the store.
struct HeadReading
{
    bool isOk = false;
    std::optional<Head> head;
};

/// The head in a key's value. Unreadable ones are logged and count as a failure.
auto readHeadValue(const std::string &value) -> HeadReading;

/// The head in the answer to a read of its key.
auto headIn(const platform::StoreResult<platform::RangeAnswer> &answer) -> HeadReading;

/// The values of these hashes, or of all, page by page. Nothing when the store failed.
auto readSections(platform::EtcdStore &store, std::vector<std::string> hashes)
        -> transport::Task<std::optional<Blobs>>;

} // namespace stairspur::distribution
