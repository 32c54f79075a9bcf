#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Identifiers.h>

namespace stairspur::membership {

/// The state of a backend server, as published by the node of its host.
enum class ServingState {
    Starting,
    Serving,
    Draining,
    Left,
};

/// The state of a node as its peers see it (SWIM, Das et al., DSN 2002).
enum class Liveness {
    Alive,
    Suspect,
    Dead,
};

/// One node and the backend server of its host.
struct Member
{
    NodeId node;
    std::string service; ///< Empty until a backend server has announced itself.
    std::string domain;
    Incarnation incarnation = 0;
    /// The incarnation with which the node's process started. It changes only when the node restarts.
    Incarnation startIncarnation = 0;
    ServingState state = ServingState::Starting;
    std::uint32_t slots = 0;
    Liveness liveness = Liveness::Alive;

    auto operator==(const Member &) const -> bool = default;
};

/// All members in the table of this node, sorted by id. Immutable once published.
struct MembershipView
{
    std::vector<Member> members;
};

} // namespace stairspur::membership

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::ServingState> =
        std::array<std::string_view, 4>{"starting", "serving", "draining", "left"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::Liveness> =
        std::array<std::string_view, 3>{"alive", "suspect", "dead"};
