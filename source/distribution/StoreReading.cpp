#include "StoreReading.h"

#include <utility>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

namespace stairspur::distribution {

/// Number of sections in a page. With some hundred bytes each, a page stays well below the client's limit for an answer.
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

auto readHeadAnswer(const store::StoreResult<store::RangeAnswer> &answer) -> HeadReading
{
    if (!answer.isOk())
        return {};
    if (answer.value.pairs.empty())
        return {true, std::nullopt};
    return readHeadValue(answer.value.pairs[0].value);
}

auto HeadReader::key() const -> std::string
{
    return m_source ? m_source->key : std::string(HeadKey);
}

auto HeadReader::readValue(const std::string &value) -> HeadReading
{
    if (!m_source)
        return readHeadValue(value);
    try {
        m_wholeItem = splitWholeItem(m_source->read(value));
        return {true, m_wholeItem->head};
    } catch (const InputError &error) {
        log::Line(log::Severity::Error, "configuration-item-unreadable")
                .add("key", m_source->key)
                .add("error", error.what());
    }
    return {};
}

auto HeadReader::readAnswer(const store::StoreResult<store::RangeAnswer> &answer) -> HeadReading
{
    if (!m_source || !answer.isOk() || answer.value.pairs.empty())
        return readHeadAnswer(answer);
    return readValue(answer.value.pairs.front().value);
}

static auto addBlobs(Blobs &blobs, const std::vector<store::KeyValue> &pairs) -> void
{
    for (const auto &it : pairs)
        blobs[it.key.substr(SectionPrefix.size())] = it.value;
}

auto requestsFor(const std::vector<std::string> &hashes) -> std::vector<store::RangeRequest>
{
    auto requests = std::vector<store::RangeRequest>();
    for (const auto &it : hashes)
        requests.push_back({.key = sectionKey(it)});
    const auto prefix = std::string(SectionPrefix);
    if (hashes.empty())
        requests.push_back(
                {.key = prefix, .rangeEnd = store::endOfPrefix(prefix), .limit = SectionsPerPage});
    return requests;
}

auto addAnswer(const store::StoreResult<store::RangeAnswer> &answer,
               std::vector<store::RangeRequest> &requests, Blobs &blobs) -> bool
{
    if (!answer.isOk())
        return false;
    addBlobs(blobs, answer.value.pairs);
    if (answer.value.hasMore && !answer.value.pairs.empty())
        requests.back().key = answer.value.pairs.back().key + '\0';
    else
        requests.pop_back();
    return true;
}

} // namespace stairspur::distribution
