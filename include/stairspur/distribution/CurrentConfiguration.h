#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <stairspur/config/Sections.h>
#include <stairspur/distribution/Digest.h>

namespace stairspur::distribution {

/// Sections that changed, in pieces small enough to delay nobody.
struct Changes
{
    std::map<std::string, std::string> changed;
    std::vector<std::string> removed;

    [[nodiscard]] auto bytes() const -> std::size_t;
};

/// A piece of what changed since a version. `isLast` is false when more follows after the section `cursor`.
struct ChangesPiece
{
    Changes changes;
    std::string cursor;
    bool isLast = true;
};

/// The sections that a node has in force, and when each last changed, which is all that a delta needs.
///
/// Keeping the version of a section's last change, in place of a list of deltas, answers "what changed since version v"
/// for every v since the sections were first loaded, in memory that does not grow with the number of changes.
class CurrentConfiguration
{
public:
    /// A step forward that has been put together but is not in force yet.
    struct Candidate
    {
        std::map<std::string, std::shared_ptr<const std::string>> sections;
        config::SectionHashes hashes;
        std::string hash; ///< Over all sections.
    };

    [[nodiscard]] auto version() const -> std::uint64_t { return m_version; }
    [[nodiscard]] auto hash() const -> const std::string & { return m_hash; }
    [[nodiscard]] auto hashes() const -> const config::SectionHashes & { return m_hashes; }
    [[nodiscard]] auto digest() const -> Digest { return digestOf(m_version, m_hash); }
    [[nodiscard]] auto find(const std::string &name) const -> const std::string *;
    [[nodiscard]] auto sections() const -> config::Sections;

    /// The sections with `changes` applied to them, or, when `isWhole`, the changes alone.
    [[nodiscard]] auto assemble(const Changes &changes, bool isWhole) const -> Candidate;

    /// Takes a candidate into force.
    auto adopt(std::uint64_t version, Candidate candidate) -> void;

    /// Whether changesSince(version) can leave unchanged sections out.
    [[nodiscard]] auto hasChangesSince(std::uint64_t version) const -> bool
    {
        return version >= m_firstVersion && version > 0;
    }

    /// Sections after `cursor` that changed since `version` (0: all), up to about `maxBytes`, but at least one.
    [[nodiscard]] auto changesSince(std::uint64_t version, const std::string &cursor,
                                    std::size_t maxBytes) const -> ChangesPiece;

private:
    static constexpr auto MaxRemoved = std::size_t{1024};

    auto recordRemoved(const Candidate &candidate, std::uint64_t version) -> void;

    std::uint64_t m_version = 0;
    std::string m_hash;
    std::uint64_t m_firstVersion = 0; ///< Changes before it are not known one by one.
    std::map<std::string, std::shared_ptr<const std::string>> m_sections;
    config::SectionHashes m_hashes;
    std::map<std::string, std::uint64_t> m_changedAt;
    std::map<std::string, std::uint64_t> m_removedAt;
};

} // namespace stairspur::distribution
