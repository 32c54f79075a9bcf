#pragma once

#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>

namespace stairspur::distribution {

/// A node that this one may send messages to.
struct Peer
{
    NodeId node;
    std::string domain;
};

/// Number of relays in each failure domain.
inline constexpr auto RelaysPerDomain = std::size_t{3};

/// Returns the alive members of a domain in the order of rendezvous hashing (Thaler and Ravishankar, 1998). The first
/// RelaysPerDomain of them are its relays: all nodes determine the same ones without an election, and the failure of a relay
/// moves only its own role.
auto rankedMembers(const std::string &domain, const std::vector<Peer> &alive)
        -> std::vector<NodeId>;

} // namespace stairspur::distribution
