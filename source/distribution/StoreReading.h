#pragma once

#include <optional>
#include <string>
#include <vector>

#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/HeadFollower.h>
#include <stairspur/store/StoreTypes.h>

#include "WholeItemSplitter.h"

namespace stairspur::distribution {

/// Result of reading the head. `isOk` without a head means that the store has none.
struct HeadReading
{
    bool isOk = false;
    std::optional<Head> head;
};

/// Decodes the head in a key's value. A malformed one is logged and counts as a failure.
auto readHeadValue(const std::string &value) -> HeadReading;

/// Decodes the head in the answer to a read of its key.
auto readHeadAnswer(const store::StoreResult<store::RangeAnswer> &answer) -> HeadReading;

/// Reads heads in the form in which the store contains the configuration.
class HeadReader
{
public:
    explicit HeadReader(std::optional<WholeItemSource> source)
        : m_source(std::move(source))
    {}

    /// Returns the key of the head or of the whole item.
    [[nodiscard]] auto key() const -> std::string;

    /// Decodes the head in a key's value, or the head of the whole item there. A malformed one is logged and counts as a
    /// failure.
    auto readValue(const std::string &value) -> HeadReading;

    /// Does the same with the answer to a read of the key.
    auto readAnswer(const store::StoreResult<store::RangeAnswer> &answer) -> HeadReading;

    /// Returns the last whole item, which contains all sections, or nothing if the store has head and sections separately.
    [[nodiscard]] auto wholeItem() const -> const std::optional<SplitItem> & { return m_wholeItem; }

private:
    std::optional<WholeItemSource> m_source;
    std::optional<SplitItem> m_wholeItem;
};

/// Returns the requests that read these sections: one key for each hash, or without hashes all keys with the prefix in pages.
auto requestsFor(const std::vector<std::string> &hashes) -> std::vector<store::RangeRequest>;

/// Adds the answer to the last of `requests` to `blobs`. Replaces that request with the one for the next page, or removes it
/// if there is none. Returns false if the store failed.
auto addAnswer(const store::StoreResult<store::RangeAnswer> &answer,
               std::vector<store::RangeRequest> &requests, Blobs &blobs) -> bool;

} // namespace stairspur::distribution
