#pragma once

#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>

namespace stairspur::distribution {

/// A node that this one may talk to.
struct Peer
{
    NodeId node;
    std::string domain;
};

/// Relays in each failure domain.
inline constexpr auto RelaysPerDomain = std::size_t{3};

/// The relays of a domain: the alive members that rank first by rendezvous hashing (Thaler and Ravishankar, 1998), so
/// that every node finds the same ones without an election, and one that fails moves only its own role.
auto relaysOf(const std::string &domain, const std::vector<Peer> &alive) -> std::vector<NodeId>;

} // namespace stairspur::distribution
