#pragma once

#include <unordered_map>

#include <stairspur/admission/BackendStatement.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>

namespace stairspur::routing {

/// The statements of backend servers whose nodes are no members at the moment. A node that restarts may be missing in the
/// table for seconds, while its backend server runs on.
class StatementMemory
{
public:
    /// Records the statement of a node that is no longer a member.
    auto keep(const NodeId &node, const admission::InstanceStatement &statement, TimePoint now)
            -> void;

    /// Removes and returns the statement of a node; an empty one if there is none.
    auto take(const NodeId &node) -> admission::InstanceStatement;

private:
    struct Kept
    {
        admission::InstanceStatement statement;
        TimePoint since;
    };

    std::unordered_map<NodeId, Kept> m_kept;
};

} // namespace stairspur::routing
