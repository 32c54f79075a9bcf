#include "StoreReader.h"

#include <utility>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

namespace stairspur::distribution {

using transport::Task;

/// A page of sections, some hundred bytes each, stays well below the client's limit for an answer.
static constexpr auto SectionsPerPage = std::int64_t{500};

auto readHeadValue(const std::string &value) -> HeadReading
{
    try {
        return {true, decodeHead(value)};
    } catch (const InputError &error) {
        log::Line(log::Severity::Error, "configuration-head-unreadable").add("error", error.what());
        return {};
    }
}

auto readHead(platform::EtcdStore &store) -> Task<HeadReading>
{
    const auto answer = co_await store.range({.key = std::string(HeadKey)});
    if (!answer.isOk())
        co_return HeadReading{};
    if (answer.value.pairs.empty())
        co_return HeadReading{true, std::nullopt};
    co_return readHeadValue(answer.value.pairs[0].value);
}

static auto addBlobs(Blobs &blobs, const std::vector<platform::KeyValue> &pairs) -> void
{
    for (const auto &it : pairs)
        blobs[it.key.substr(SectionPrefix.size())] = it.value;
}

static auto readAll(platform::EtcdStore &store) -> Task<std::optional<Blobs>>
{
    const auto prefix = std::string(SectionPrefix);
    auto request = platform::RangeRequest{
            .key = prefix, .rangeEnd = platform::endOfPrefix(prefix), .limit = SectionsPerPage};
    auto blobs = Blobs();
    auto hasMore = true;
    while (hasMore) {
        const auto answer = co_await store.range(request);
        if (!answer.isOk())
            co_return std::nullopt;
        addBlobs(blobs, answer.value.pairs);
        hasMore = answer.value.hasMore && !answer.value.pairs.empty();
        if (hasMore)
            request.key = answer.value.pairs.back().key + '\0';
    }
    co_return blobs;
}

auto readSections(platform::EtcdStore &store, std::vector<std::string> hashes)
        -> Task<std::optional<Blobs>>
{
    if (hashes.empty())
        co_return co_await readAll(store);
    auto blobs = Blobs();
    for (const auto &it : hashes) {
        const auto answer = co_await store.range({.key = sectionKey(it)});
        if (!answer.isOk())
            co_return std::nullopt;
        addBlobs(blobs, answer.value.pairs);
    }
    co_return blobs;
}

} // namespace stairspur::distribution
