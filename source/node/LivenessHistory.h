#pragma once

#include <map>
#include <optional>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Member.h>

namespace stairspur::node {

/// Since when each node is taken for suspect or dead, for the operators' status. Nodes that are alive take no room.
class LivenessHistory
{
public:
    /// Membership shows `view` from `now` on.
    auto didSee(const membership::MembershipView &view, TimePoint now) -> void;

    /// When this node learnt of the present suspicion or death; nothing for nodes that are alive or not known.
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
