#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>

namespace stairspur::routing {

/// A candidate for a subset.
struct SubsetMember
{
    NodeId node;
    std::string domain;
};

/// The entry that a subset is computed for.
struct SubsetOwner
{
    std::string service;
    NodeId node;
    std::string domain;
    std::uint32_t size = 0; ///< Number of members besides the owner itself.
};

/// Returns the members that `owner` keeps links to, sorted by node id: itself if it is a member, and `size` others by
/// rendezvous rank (highest random weight, Thaler and Ravishankar, 1998). Half of the others are in its own failure
/// domain and the rest are spread over the other domains; if one side has too few members, the other side fills up.
///
/// A member that is added or removed changes at most one member of a subset in each failure domain.
auto rendezvousSubset(const SubsetOwner &owner, const std::vector<SubsetMember> &members)
        -> std::vector<NodeId>;

} // namespace stairspur::routing
