#include <stairspur/distribution/Head.h>

#include <algorithm>
#include <array>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>
#include <stairspur/core/Hash.h>
#include <stairspur/core/Hex.h>
#include <stairspur/distribution/Digest.h>

namespace stairspur::distribution {

using Json = nlohmann::json;

static constexpr auto UnreadableRemedy =
        "check that every applier runs a stairspur that writes this format, then apply again";

/// Returns a hash as bytes, which have half the size of its digits.
static auto toBytes(const std::string &hex) -> Json
{
    const auto bytes = bytesOfHex(hex);
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

static auto toDigits(const Json &bytes) -> std::string
{
    const auto &binary = bytes.get_binary();
    return toHex(std::string_view(reinterpret_cast<const char *>(binary.data()), binary.size()));
}

static auto hashesJson(const std::map<std::string, std::string> &hashes) -> Json
{
    auto json = Json::object();
    for (const auto &[name, hash] : hashes)
        json[name] = toBytes(hash);
    return json;
}

static auto readHashes(const Json &json) -> std::map<std::string, std::string>
{
    auto hashes = std::map<std::string, std::string>();
    for (const auto &[name, hash] : json.items())
        hashes[name] = toDigits(hash);
    return hashes;
}

auto Head::findApply(std::string_view id) const -> const HeadApply *
{
    const auto it = std::ranges::find(applies, id, &HeadApply::id);
    return it == applies.end() ? nullptr : &*it;
}

auto Head::changesSince(std::uint64_t since) const
        -> std::optional<std::map<std::string, std::string>>
{
    auto merged = std::map<std::string, std::string>();
    for (auto wanted = since + 1; wanted <= version; ++wanted) {
        const auto it = std::ranges::find(changes, wanted, &HeadChange::version);
        if (it == changes.end())
            return std::nullopt;
        for (const auto &[name, sectionHash] : it->hashes)
            merged[name] = sectionHash;
    }
    return merged;
}

auto encodeHead(const Head &head) -> std::string
{
    auto applies = Json::array();
    for (const auto &it : head.applies)
        applies.push_back({it.id, it.version});
    auto changes = Json::array();
    for (const auto &it : head.changes)
        changes.push_back({it.version, hashesJson(it.hashes)});
    return toCbor({{"version", head.version},
                   {"hash", toBytes(head.hash)},
                   {"applyId", head.applyId},
                   {"by", head.appliedBy},
                   {"at", head.appliedAtMs},
                   {"list", toBytes(head.listHash)},
                   {"applies", applies},
                   {"changes", changes}});
}

static auto readHead(const Json &json) -> Head
{
    auto head = Head();
    head.version = json.at("version");
    head.hash = toDigits(json.at("hash"));
    head.applyId = json.at("applyId");
    head.appliedBy = json.at("by");
    head.appliedAtMs = json.at("at");
    head.listHash = toDigits(json.at("list"));
    for (const auto &it : json.at("applies"))
        head.applies.push_back({it.at(0), it.at(1)});
    for (const auto &it : json.at("changes"))
        head.changes.push_back({it.at(0), readHashes(it.at(1))});
    return head;
}

auto decodeHead(std::string_view bytes) -> Head
{
    try {
        return readHead(fromCbor(bytes));
    } catch (const Json::exception &error) {
        throw InputError(std::string("the store's configuration head cannot be read: ")
                                 + error.what(),
                         UnreadableRemedy);
    }
}

static auto addBlob(EncodedList &list, std::string bytes) -> std::string
{
    auto hash = sha256Hex(bytes);
    list.blobs[hash] = std::move(bytes);
    return hash;
}

auto encodeList(const SectionList &list) -> EncodedList
{
    auto buckets = std::array<std::map<std::string, std::string>, SectionList::Buckets>();
    for (const auto &[name, hash] : list.hashes)
        buckets[hash64(name) % SectionList::Buckets][name] = hash;
    auto encoded = EncodedList();
    auto bucketHashes = Json::array();
    for (const auto &it : buckets)
        bucketHashes.push_back(it.empty() ? toBytes({})
                                          : toBytes(addBlob(encoded, toCbor(hashesJson(it)))));
    auto retired = Json::array();
    for (const auto &[hash, since] : list.retired)
        retired.push_back({toBytes(hash), since});
    encoded.rootHash = addBlob(encoded, toCbor({{"buckets", bucketHashes}, {"retired", retired}}));
    return encoded;
}

auto decodeRoot(std::string_view bytes) -> ListRoot
{
    try {
        const auto json = fromCbor(bytes);
        auto root = ListRoot();
        for (const auto &it : json.at("buckets"))
            root.buckets.push_back(toDigits(it));
        for (const auto &it : json.at("retired"))
            root.retired[toDigits(it.at(0))] = it.at(1);
        return root;
    } catch (const Json::exception &error) {
        throw InputError(std::string("the store's list of sections cannot be read: ")
                                 + error.what(),
                         UnreadableRemedy);
    }
}

auto decodeBucket(std::string_view bytes) -> config::SectionHashes
{
    try {
        return readHashes(fromCbor(bytes));
    } catch (const Json::exception &error) {
        throw InputError(std::string("a bucket of the list of sections cannot be read: ")
                                 + error.what(),
                         UnreadableRemedy);
    }
}

auto sectionKey(const std::string &hash) -> std::string
{
    return std::string(SectionPrefix) + hash;
}

} // namespace stairspur::distribution
