#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::node {

/// What a node itself said last.
struct HeardVersion
{
    std::uint64_t version = 0; ///< Of the configuration that it had in force.
    Duration age{0};           ///< Since it said so.
};

/// By node.
using HeardVersions = std::map<NodeId, HeardVersion>;

/// Remembers what other nodes said of the configuration they have in force, for the operators' status. A node is heard
/// about once in as many protocol periods as its failure domain has members, so that what is old says little.
class VersionsHeard
{
public:
    /// A probe or ack of `node` carried `digest`; malformed ones are passed over.
    auto didHear(const NodeId &node, std::string_view digest, TimePoint now) -> void;

    /// What was heard within the last ten minutes.
    [[nodiscard]] auto recent(TimePoint now) const -> HeardVersions;

private:
    struct Heard
    {
        std::uint64_t version = 0;
        TimePoint at;
    };

    std::map<NodeId, Heard> m_heard;
};

} // namespace stairspur::node
