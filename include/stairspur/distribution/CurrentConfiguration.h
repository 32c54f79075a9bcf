#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <stairspur/config/Sections.h>
#include <stairspur/distribution/Digest.h>

namespace stairspur::distribution {

/// Changed and removed sections.
struct Changes
{
    std::map<std::string, std::string> changed; ///< Bytes of the changed sections by name.
    std::vector<std::string> removed;           ///< Names of the removed sections.

    /// Returns the total size of the names and sections.
    [[nodiscard]] auto bytes() const -> std::size_t;
};

/// A piece of the changes since a version, small enough not to delay other traffic.
struct ChangesPiece
{
    Changes changes;
    std::string cursor; ///< Name of the last section in this piece.
    bool isLast = true; ///< Whether no sections follow after `cursor`.
};

/// The sections that a node has in force, with the version of each section's last change.
///
/// These versions are stored instead of a list of deltas. They give the changes since every version from the first loaded
/// one on, in memory that does not grow with the number of changes.
class CurrentConfiguration
{
public:
    /// An assembled configuration that is not in force yet.
    struct Candidate
    {
        std::map<std::string, std::shared_ptr<const std::string>> sections;
        config::SectionHashes hashes;
        std::string hash; ///< Hash of all sections.
    };

    [[nodiscard]] auto version() const -> std::uint64_t { return m_version; }
    [[nodiscard]] auto hash() const -> const std::string & { return m_hash; }
    [[nodiscard]] auto hashes() const -> const config::SectionHashes & { return m_hashes; }
    [[nodiscard]] auto digest() const -> Digest { return digestOf(m_version, m_hash); }
    /// Returns the bytes of a section, or null.
    [[nodiscard]] auto find(const std::string &name) const -> const std::string *;
    [[nodiscard]] auto sections() const -> config::Sections;

    /// Returns the sections in force with `changes` applied to them, or only the changes if `isWhole`.
    [[nodiscard]] auto assemble(const Changes &changes, bool isWhole) const -> Candidate;

    /// Brings a candidate into force.
    auto adopt(std::uint64_t version, Candidate candidate) -> void;

    /// Returns whether changesSince(version) can omit unchanged sections.
    [[nodiscard]] auto hasChangesSince(std::uint64_t version) const -> bool
    {
        return version >= m_firstVersion && version > 0;
    }

    /// Returns the sections after `cursor` that changed since `version` (0 for all), up to about `maxBytes` but at least one.
    [[nodiscard]] auto changesSince(std::uint64_t version, const std::string &cursor,
                                    std::size_t maxBytes) const -> ChangesPiece;

private:
    static constexpr auto MaxRemoved = std::size_t{1024};

    auto recordRemoved(const Candidate &candidate, std::uint64_t version) -> void;

    std::uint64_t m_version = 0;
    std::string m_hash;
    std::uint64_t m_firstVersion = 0; ///< First version whose later changes are recorded.
    std::map<std::string, std::shared_ptr<const std::string>> m_sections;
    config::SectionHashes m_hashes;
    std::map<std::string, std::uint64_t> m_changedAt;
    std::map<std::string, std::uint64_t> m_removedAt;
};

} // namespace stairspur::distribution
