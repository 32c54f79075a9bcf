#pragma once

#include <optional>
#include <string>
#include <vector>

#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/HeadFollower.h>
#include <stairspur/store/StoreTypes.h>

#include "WholeItemSplitter.h"

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
auto readHeadAnswer(const store::StoreResult<store::RangeAnswer> &answer) -> HeadReading;

/// Reads heads in the form in which the store holds the configuration.
class HeadReader
{
public:
    explicit HeadReader(std::optional<WholeItemSource> source)
        : m_source(std::move(source))
    {}

    [[nodiscard]] auto key() const -> std::string;

    /// The head in a key's value, or that of the whole item there. Unreadable ones are logged and count as a failure.
    auto readValue(const std::string &value) -> HeadReading;

    /// The same from the answer to a read of the key.
    auto readAnswer(const store::StoreResult<store::RangeAnswer> &answer) -> HeadReading;

    /// The last whole item, which has brought all sections with it; none where head and sections stand apart.
    [[nodiscard]] auto wholeItem() const -> const std::optional<SplitItem> & { return m_wholeItem; }

private:
    std::optional<WholeItemSource> m_source;
    std::optional<SplitItem> m_wholeItem;
};

/// The reads that give these sections: one key for each hash; the whole prefix, page by page, without any.
auto requestsFor(const std::vector<std::string> &hashes) -> std::vector<store::RangeRequest>;

/// Takes in the answer to the last of `requests`, and leaves the one for the next page if there is one. False: the store
/// failed.
auto addAnswer(const store::StoreResult<store::RangeAnswer> &answer,
                std::vector<store::RangeRequest> &requests, Blobs &blobs) -> bool;

} // namespace stairspur::distribution
