#include "VersionsHeard.h"

#include <stairspur/core/Error.h>
#include <stairspur/distribution/Digest.h>

namespace stairspur::node {

static constexpr auto Retention = std::chrono::minutes(10);

auto VersionsHeard::didHear(const NodeId &node, std::string_view digest, TimePoint now) -> void
{
    if (digest.empty())
        return;
    try {
        m_heard[node] = {distribution::decodeDigest(digest).version, now};
    } catch (const InputError &) {
        return; // The distribution counts malformed digests.
    }
    std::erase_if(m_heard, [now](const auto &it) { return now - it.second.at > Retention; });
}

auto VersionsHeard::recent(TimePoint now) const -> HeardVersions
{
    auto versions = HeardVersions();
    for (const auto &[node, heard] : m_heard) {
        if (now - heard.at <= Retention)
            versions.emplace(node, HeardVersion{heard.version, std::chrono::duration_cast<Duration>(
                                                                       now - heard.at)});
    }
    return versions;
}

} // namespace stairspur::node
