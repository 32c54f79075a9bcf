#include <stairspur/distribution/WritePlan.h>

#include <algorithm>
#include <utility>

namespace stairspur::distribution {

static auto contains(const std::vector<std::string> &hashes, const std::string &hash) -> bool
{
    return std::ranges::find(hashes, hash) != hashes.end();
}

/// Returns the changes from the base to `hashes`. Buckets that were not read are the same in both.
static auto changeOf(const WriteBase &base, const config::SectionHashes &hashes,
                     const EncodedList &own) -> HeadChange
{
    auto change = HeadChange();
    for (const auto &[name, hash] : base.hashes) {
        if (!hashes.contains(name))
            change.hashes[name] = "";
    }
    for (const auto &[blobHash, bytes] : own.blobs) {
        if (blobHash == own.rootHash || contains(base.root.buckets, blobHash))
            continue;
        for (const auto &[name, hash] : decodeBucket(bytes)) {
            const auto old = base.hashes.find(name);
            if (old == base.hashes.end() || old->second != hash)
                change.hashes[name] = hash;
        }
    }
    return change;
}

/// Returns the hashes that are not named from the new version on, together with those retired before.
static auto retiredSince(const WriteBase &base, const config::SectionHashes &hashes,
                         const EncodedList &own, const HeadChange &change)
        -> std::map<std::string, std::uint64_t>
{
    auto retired = base.root.retired;
    for (const auto &[name, hash] : change.hashes) {
        if (const auto old = base.hashes.find(name); old != base.hashes.end())
            retired[old->second] = change.version;
    }
    for (const auto &it : base.root.buckets) {
        if (!it.empty() && !own.blobs.contains(it))
            retired[it] = change.version;
    }
    if (!base.head.listHash.empty())
        retired[base.head.listHash] = change.version;
    for (const auto &[name, hash] : hashes)
        retired.erase(hash);
    for (const auto &[hash, bytes] : own.blobs)
        retired.erase(hash);
    return retired;
}

/// Removes from `retired` the values that have stayed long enough, and returns their deletions. They are deleted in the same
/// write that changes the head.
static auto takeDeletions(std::map<std::string, std::uint64_t> &retired, std::uint64_t version,
                          bool keepsRetired) -> std::vector<store::Operation>
{
    auto deletions = std::vector<store::Operation>();
    std::erase_if(retired, [&](const auto &it) {
        const auto isDue = !keepsRetired || it.second + RetirementVersions <= version;
        if (!isDue || deletions.size() >= MaxDeletions)
            return false;
        deletions.push_back({.isDelete = true, .key = sectionKey(it.first)});
        return true;
    });
    return deletions;
}

/// Returns the writes of sections and buckets that the store lacks.
static auto missingValues(const WriteBase &base, const PublishRequest &request,
                          const EncodedList &list, const HeadChange &change)
        -> std::vector<store::Operation>
{
    auto missing = std::vector<store::Operation>();
    for (const auto &[name, hash] : change.hashes) {
        if (!hash.empty())
            missing.push_back({.key = sectionKey(hash), .value = request.sections.at(name)});
    }
    for (const auto &[hash, bytes] : list.blobs) {
        if (!contains(base.root.buckets, hash))
            missing.push_back({.key = sectionKey(hash), .value = bytes});
    }
    // Sections with the same content have the same key, which a transaction may write only once.
    std::ranges::sort(missing, {}, &store::Operation::key);
    const auto [first, last] = std::ranges::unique(missing, {}, &store::Operation::key);
    missing.erase(first, last);
    return missing;
}

template <typename Item>
static auto keepLast(std::vector<Item> &items, std::size_t n) -> void
{
    if (items.size() > n)
        items.erase(items.begin(), items.end() - static_cast<std::ptrdiff_t>(n));
}

static auto newHead(const WriteBase &base, const PublishRequest &request, const HeadChange &change)
        -> Head
{
    auto head = Head();
    head.version = change.version;
    head.hash = config::hashOf(request.sections);
    head.applyId = request.applyId;
    head.appliedBy = request.appliedBy;
    head.appliedAtMs = request.wallClockMs;
    head.applies = base.head.applies;
    head.applies.push_back({request.applyId, change.version});
    keepLast(head.applies, MaxRecordedApplies);
    head.changes = base.head.changes;
    if (change.hashes.size() <= MaxListedChange)
        head.changes.push_back(change);
    keepLast(head.changes, MaxRecordedChanges);
    return head;
}

auto planWrites(const WriteBase &base, const PublishRequest &request, bool keepsRetired)
        -> WritePlan
{
    const auto hashes = config::hashesOf(request.sections);
    const auto own = encodeList({hashes, {}});
    auto change = changeOf(base, hashes, own);
    change.version = std::max(base.head.version + 1, request.minimumVersion);
    auto retired = retiredSince(base, hashes, own, change);
    auto plan = WritePlan();
    plan.deletions = takeDeletions(retired, change.version, keepsRetired);
    const auto list = encodeList({hashes, std::move(retired)});
    plan.head = newHead(base, request, change);
    plan.head.listHash = list.rootHash;
    plan.missing = missingValues(base, request, list, change);
    return plan;
}

} // namespace stairspur::distribution
