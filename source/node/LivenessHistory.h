#pragma once

#include <map>
#include <optional>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Member.h>

namespace stairspur::node {

/// Records since when each node has been suspect or dead, for the status report. Nodes that are alive have no entry.
class LivenessHistory
{
public:
    /// Records the view of the members that is current from `now` on.
    auto didChangeView(const membership::MembershipView &view, TimePoint now) -> void;

    /// Returns when this node received the current suspicion or death of `node`; empty if `node` is alive or unknown.
    [[nodiscard]] auto since(const NodeId &node) const -> std::optional<TimePoint>;

private:
    struct Judgement
    {
        membership::Liveness liveness = membership::Liveness::Suspect;
        TimePoint since;
    };

    std::map<NodeId, Judgement> m_judgements;
};

} // namespace stairspur::node
