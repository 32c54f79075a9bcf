#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/config/Sections.h>

namespace stairspur::distribution {

/// Key of the head in the store.
inline constexpr auto HeadKey = std::string_view("/stairspur/config/head");
/// Prefix of the keys of sections, which end in the hash of the value.
inline constexpr auto SectionPrefix = std::string_view("/stairspur/config/section/");

/// Maximum number of apply ids and of changes that a head records. An applier whose answer was lost looks for its id there.
inline constexpr auto MaxRecordedApplies = std::size_t{16};
inline constexpr auto MaxRecordedChanges = std::size_t{4};
/// Maximum number of sections in a recorded change. After a larger change readers load all sections.
inline constexpr auto MaxListedChange = std::size_t{32};
/// Number of versions for which a section that is no longer named stays in the store, for readers of an older head.
inline constexpr auto RetirementVersions = std::uint64_t{16};

/// Hashes of the sections that one version changed, by section name. The hash of a removed section is empty.
struct HeadChange
{
    std::uint64_t version = 0;
    std::map<std::string, std::string> hashes;
};

/// An apply that the head records.
struct HeadApply
{
    std::string id;
    std::uint64_t version = 0;
};

/// Value of the single key that determines which configuration is in force. Its size stays near a kilobyte for any number
/// of sections, because each relay receives it with every change.
struct Head
{
    std::uint64_t version = 0;
    std::string hash; ///< Hash of the whole configuration in hexadecimal digits.
    std::string applyId;
    std::string appliedBy;
    std::int64_t appliedAtMs =
            0;            ///< Applier's wall clock in milliseconds since 1970; only displayed.
    std::string listHash; ///< Hash of the root of the list of sections.
    std::vector<HeadApply> applies; ///< Last applies, oldest first.
    std::vector<HeadChange>
            changes; ///< Last changes, oldest first, without those that were too large.

    /// Returns the recorded apply with this id, or null.
    [[nodiscard]] auto findApply(std::string_view id) const -> const HeadApply *;
    /// Returns the changes after `version`, or nothing when the head does not record all of them.
    [[nodiscard]] auto changesSince(std::uint64_t version) const
            -> std::optional<std::map<std::string, std::string>>;
};

auto encodeHead(const Head &head) -> std::string;
/// Decodes a head. Throws InputError when `bytes` is malformed.
auto decodeHead(std::string_view bytes) -> Head;

/// Names and hashes of all sections. The store contains the list as a root and 32 buckets, so that a change rewrites two
/// small values instead of one that grows with the number of services.
struct SectionList
{
    static constexpr auto Buckets = std::size_t{32};

    config::SectionHashes hashes;
    /// Hashes that are no longer named, with the first version that does not name them.
    std::map<std::string, std::uint64_t> retired;
};

/// Root of the list of sections.
struct ListRoot
{
    std::vector<std::string> buckets; ///< Hash of each bucket; empty for a bucket without sections.
    std::map<std::string, std::uint64_t> retired;
};

/// A list of sections in the form that is stored: blobs by hash.
struct EncodedList
{
    std::string rootHash;
    std::map<std::string, std::string> blobs;
};

auto encodeList(const SectionList &list) -> EncodedList;
/// Decode the root and a bucket of a list. Both throw InputError when `bytes` is malformed.
auto decodeRoot(std::string_view bytes) -> ListRoot;
auto decodeBucket(std::string_view bytes) -> config::SectionHashes;

/// Returns the key of the value with this hash.
auto sectionKey(const std::string &hash) -> std::string;

} // namespace stairspur::distribution
