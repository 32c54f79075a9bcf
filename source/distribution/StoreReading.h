#pragma once

#include <optional>
#include <string>
#include <vector>

#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/HeadFollower.h>
#include <stairspur/store/StoreTypes.h>

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
auto headIn(const store::StoreResult<store::RangeAnswer> &answer) -> HeadReading;

/// The reads that give these sections: one key for each hash; the whole prefix, page by page, without any.
auto requestsFor(const std::vector<std::string> &hashes) -> std::vector<store::RangeRequest>;

/// Takes in the answer to the last of `requests`, and leaves the one for the next page if there is one. False: the store
/// failed.
auto takeAnswer(const store::StoreResult<store::RangeAnswer> &answer,
                std::vector<store::RangeRequest> &requests, Blobs &blobs) -> bool;

} // namespace stairspur::distribution
