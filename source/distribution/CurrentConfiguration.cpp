#include <stairspur/distribution/CurrentConfiguration.h>

#include <utility>

#include <stairspur/core/Hash.h>

namespace stairspur::distribution {

auto Changes::bytes() const -> std::size_t
{
    auto sum = std::size_t{0};
    for (const auto &[name, bytes] : changed)
        sum += name.size() + bytes.size();
    for (const auto &it : removed)
        sum += it.size();
    return sum;
}

auto CurrentConfiguration::find(const std::string &name) const -> const std::string *
{
    const auto it = m_sections.find(name);
    return it == m_sections.end() ? nullptr : it->second.get();
}

auto CurrentConfiguration::sections() const -> config::Sections
{
    auto copy = config::Sections();
    for (const auto &[name, bytes] : m_sections)
        copy[name] = *bytes;
    return copy;
}

auto CurrentConfiguration::assemble(const Changes &changes, bool isWhole) const -> Candidate
{
    auto candidate = Candidate();
    if (!isWhole) {
        candidate.sections = m_sections;
        candidate.hashes = m_hashes;
    }
    for (const auto &[name, bytes] : changes.changed) {
        candidate.hashes[name] = sha256Hex(bytes);
        candidate.sections[name] = std::make_shared<const std::string>(bytes);
    }
    for (const auto &it : changes.removed) {
        candidate.hashes.erase(it);
        candidate.sections.erase(it);
    }
    candidate.hash = config::hashOfHashes(candidate.hashes);
    return candidate;
}

auto CurrentConfiguration::adopt(std::uint64_t version, Candidate candidate) -> void
{
    recordRemoved(candidate, version);
    for (const auto &[name, hash] : candidate.hashes) {
        const auto old = m_hashes.find(name);
        if (old == m_hashes.end() || old->second != hash)
            m_changedAt[name] = version;
        m_removedAt.erase(name);
    }
    if (m_firstVersion == 0)
        m_firstVersion = version;
    m_version = version;
    m_hash = std::move(candidate.hash);
    m_sections = std::move(candidate.sections);
    m_hashes = std::move(candidate.hashes);
}

auto CurrentConfiguration::recordRemoved(const Candidate &candidate, std::uint64_t version) -> void
{
    for (const auto &[name, hash] : m_hashes) {
        if (candidate.hashes.contains(name))
            continue;
        m_changedAt.erase(name);
        m_removedAt[name] = version;
    }
    if (m_removedAt.size() <= MaxRemoved)
        return;
    // Nodes with versions older than the recorded removals receive all sections.
    m_removedAt.clear();
    m_firstVersion = version;
}

auto CurrentConfiguration::changesSince(std::uint64_t version, const std::string &cursor,
                                        std::size_t maxBytes) const -> ChangesPiece
{
    const auto since = hasChangesSince(version) ? version : 0;
    auto piece = ChangesPiece();
    auto bytes = std::size_t{0};
    for (auto it = m_sections.upper_bound(cursor); it != m_sections.end(); ++it) {
        if (m_changedAt.at(it->first) <= since)
            continue;
        bytes += it->first.size() + it->second->size();
        if (bytes > maxBytes && !piece.changes.changed.empty()) {
            piece.isLast = false;
            return piece;
        }
        piece.changes.changed[it->first] = *it->second;
        piece.cursor = it->first;
    }
    for (const auto &[name, removedAt] : m_removedAt) {
        if (since != 0 && removedAt > since)
            piece.changes.removed.push_back(name);
    }
    return piece;
}

} // namespace stairspur::distribution
