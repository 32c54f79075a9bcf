#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::node {

/// The latest configuration version that a node itself has reported.
struct ReportedVersion
{
    std::uint64_t version = 0; ///< Version of the configuration in force at that node.
    Duration age{0};           ///< Time since the report was received.
};

/// Reported versions by node.
using ReportedVersionMap = std::map<NodeId, ReportedVersion>;

/// Records which configuration versions other nodes have reported as in force, for the status report. A node's report is
/// received about once in as many protocol periods as its failure domain has members, so old entries are unreliable and are
/// removed.
class ReportedVersions
{
public:
    /// Records `digest`, received with a probe or ack of `node`. Malformed digests are ignored.
    auto didReceive(const NodeId &node, std::string_view digest, TimePoint now) -> void;

    /// Returns the versions received within the last ten minutes.
    [[nodiscard]] auto recent(TimePoint now) const -> ReportedVersionMap;

private:
    struct Report
    {
        std::uint64_t version = 0;
        TimePoint receivedAt;
    };

    std::map<NodeId, Report> m_reports;
};

} // namespace stairspur::node
