#pragma once

#include <string>

#include <stairspur/core/EnumNames.h>
#include <stairspur/membership/Member.h>

namespace stairspur::membership {

/// What changed in the view of one node.
enum class MembershipEventKind {
    Join,  ///< A member that was not known, or was dead or left, is alive.
    Alive, ///< A suspicion was refuted.
    Suspect,
    Dead,
    Left,
    Draining,
    State,       ///< Service, slots or serving state changed otherwise.
    Restart,     ///< A member has a new process behind it.
    Forgotten,   ///< A dead or left member's record was dropped.
    ContactLost, ///< No relay reaches the domain in `domain`.
    ContactFound,
    Annotation, ///< A peer's annotation was heard; see `annotation`.
    Refuted,    ///< This node was suspected or declared dead and raised its incarnation.
    Paused,     ///< This process did not run for some periods.
};

struct MembershipEvent
{
    MembershipEventKind kind = MembershipEventKind::Alive;
    Member member;          ///< For events of a member; `member.node` alone for annotations.
    std::string domain;     ///< For contact with another domain.
    std::string annotation; ///< At most MaxAnnotationBytes opaque bytes.
};

} // namespace stairspur::membership

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::MembershipEventKind> =
        std::array<std::string_view, 14>{"join",      "alive",        "suspect",       "dead",
                                         "left",      "draining",     "state",         "restart",
                                         "forgotten", "contact-lost", "contact-found", "annotation",
                                         "refuted",   "paused"};
