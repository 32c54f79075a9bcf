#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <stairspur/core/Identifiers.h>

namespace stairspur::routing {

/// A member that may be taken into a subset.
struct SubsetMember
{
    NodeId node;
    std::string domain;
};

/// Whose subset it is.
struct SubsetOwner
{
    std::string service;
    NodeId node;
    std::string domain;
    std::uint32_t size = 0; ///< Members besides the owner itself.
};

/// The members that `owner` keeps links to, in the order of their ids: itself when it is a member, and `size` others by
/// rendezvous rank (highest random weight, Thaler and Ravishankar, 1998). Half of them stand in its own failure domain
/// and the rest are spread over the other ones; what one side lacks the other fills.
///
/// A member that comes or goes moves at most one member of a subset in each failure domain.
auto rendezvousSubset(const SubsetOwner &owner, const std::vector<SubsetMember> &members)
        -> std::vector<NodeId>;

} // namespace stairspur::routing
