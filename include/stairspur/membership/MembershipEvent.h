#pragma once

#include <string>

#include <stairspur/core/EnumNames.h>
#include <stairspur/membership/Member.h>

namespace stairspur::membership {

/// The kinds of changes in the view of one node.
enum class MembershipEventKind {
    Join,  ///< An unknown, dead or left member is alive.
    Alive, ///< A suspicion was refuted.
    Suspect,
    Dead,
    Left,
    Draining,
    State,       ///< Any other change of service, slots or serving state.
    Restart,     ///< A member's node has restarted.
    Forgotten,   ///< The record of a dead or left member was removed.
    ContactLost, ///< No relay reaches `domain`.
    ContactFound,
    Annotation, ///< A peer's annotation was received; see `annotation`.
    Refuted,    ///< This node was suspected or declared dead and raised its incarnation.
    Paused,     ///< This process did not run for some periods.
};

struct MembershipEvent
{
    MembershipEventKind kind = MembershipEventKind::Alive;
    Member member;          ///< Set for events of a member; only `member.node` for annotations.
    std::string domain;     ///< Set for events of contact with another domain.
    std::string annotation; ///< Opaque, at most MaxAnnotationBytes.
};

} // namespace stairspur::membership

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::MembershipEventKind> =
        std::array<std::string_view, 14>{"join",      "alive",        "suspect",       "dead",
                                         "left",      "draining",     "state",         "restart",
                                         "forgotten", "contact-lost", "contact-found", "annotation",
                                         "refuted",   "paused"};
