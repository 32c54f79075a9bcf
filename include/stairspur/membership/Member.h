#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Identifiers.h>

namespace stairspur::membership {

/// What a backend server says of itself, through its host's node.
enum class ServingState {
    Starting,
    Serving,
    Draining,
    Left,
};

/// What other nodes believe of a node (SWIM, Das et al., DSN 2002).
enum class Liveness {
    Alive,
    Suspect,
    Dead,
};

/// One node and the backend server behind it.
struct Member
{
    NodeId node;
    std::string service; ///< Empty: no backend server has announced itself yet.
    std::string domain;
    Incarnation incarnation = 0;
    /// The incarnation with which its process started: changes by a restart only.
    Incarnation start = 0;
    ServingState state = ServingState::Starting;
    std::uint32_t slots = 0;
    Liveness liveness = Liveness::Alive;

    auto operator==(const Member &) const -> bool = default;
};

/// All members that this node knows, in the order of their ids. Immutable once published.
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
