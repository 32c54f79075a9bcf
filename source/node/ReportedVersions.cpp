#include "ReportedVersions.h"

#include <stairspur/core/Error.h>
#include <stairspur/distribution/Digest.h>

namespace stairspur::node {

static constexpr auto Retention = std::chrono::minutes(10);

auto ReportedVersions::didReceive(const NodeId &node, std::string_view digest, TimePoint now)
        -> void
{
    if (digest.empty())
        return;
    try {
        m_reports[node] = {distribution::decodeDigest(digest).version, now};
    } catch (const InputError &) {
        return; // The distribution counts malformed digests.
    }
    std::erase_if(m_reports,
                  [now](const auto &it) { return now - it.second.receivedAt > Retention; });
}

auto ReportedVersions::recent(TimePoint now) const -> ReportedVersionMap
{
    auto versions = ReportedVersionMap();
    for (const auto &[node, report] : m_reports) {
        if (now - report.receivedAt <= Retention)
            versions.emplace(node,
                             ReportedVersion{report.version, std::chrono::duration_cast<Duration>(
                                                                     now - report.receivedAt)});
    }
    return versions;
}

} // namespace stairspur::node
