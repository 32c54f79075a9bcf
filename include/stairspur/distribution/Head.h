#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <stairspur/config/Sections.h>

namespace stairspur::distribution {

inline constexpr auto HeadKey = std::string_view("/stairspur/config/head");
inline constexpr auto SectionPrefix = std::string_view("/stairspur/config/section/");

/// Apply ids and changes that a head remembers. An applier that lost its answer finds its id among them.
inline constexpr auto MaxRecordedApplies = std::size_t{16};
inline constexpr auto MaxRecordedChanges = std::size_t{4};
/// Changes of more sections than this are not listed: readers load the whole instead.
inline constexpr auto MaxListedChange = std::size_t{32};
/// A section that is no longer named stays for this many versions, for readers that are on their way.
inline constexpr auto RetirementVersions = std::uint64_t{16};

/// The hashes that one version changed, by section name; empty for a section that it removed.
struct HeadChange
{
    std::uint64_t version = 0;
    std::map<std::string, std::string> hashes;
};

struct HeadApply
{
    std::string id;
    std::uint64_t version = 0;
};

/// The value of the one key that decides which configuration is in force. It stays near a kilobyte whatever the number
/// of sections, because a relay gets it with every change.
struct Head
{
    std::uint64_t version = 0;
    std::string hash; ///< Of the whole configuration, in hexadecimal digits.
    std::string applyId;
    std::string appliedBy;
    std::int64_t appliedAtMs = 0;    ///< Wall clock of the applier, since 1970; for people only.
    std::string listHash;            ///< Of the root of the list of sections.
    std::vector<HeadApply> applies;  ///< The last ones, oldest first.
    std::vector<HeadChange> changes; ///< The last ones, oldest first; gaps where one was too large.

    [[nodiscard]] auto findApply(std::string_view id) const -> const HeadApply *;
    /// What changed after `version`, or nothing when the head no longer tells.
    [[nodiscard]] auto changesSince(std::uint64_t version) const
            -> std::optional<std::map<std::string, std::string>>;
};

auto encodeHead(const Head &head) -> std::string;
/// Throws InputError when `bytes` are not a head.
auto decodeHead(std::string_view bytes) -> Head;

/// The name and hash of every section, kept in the store as a root and 32 buckets so that a change rewrites two small
/// values instead of one that grows with the number of services.
struct SectionList
{
    static constexpr auto Buckets = std::size_t{32};

    config::SectionHashes hashes;
    /// Hashes no longer named, and since which version.
    std::map<std::string, std::uint64_t> retired;
};

struct ListRoot
{
    std::vector<std::string> buckets; ///< Hash of each; empty for a bucket without sections.
    std::map<std::string, std::uint64_t> retired;
};

/// A list as the store holds it: blobs by hash.
struct EncodedList
{
    std::string rootHash;
    std::map<std::string, std::string> blobs;
};

auto encodeList(const SectionList &list) -> EncodedList;
/// These throw InputError.
auto decodeRoot(std::string_view bytes) -> ListRoot;
auto decodeBucket(std::string_view bytes) -> config::SectionHashes;

auto sectionKey(const std::string &hash) -> std::string;

} // namespace stairspur::distribution
