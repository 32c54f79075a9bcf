#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Member.h>

#include "VersionsHeard.h"

namespace stairspur::node {

/// The members of one failure domain, counted. Those that said goodbye count as `left` alone.
struct DomainSummary
{
    std::uint64_t alive = 0;
    std::uint64_t suspect = 0;
    std::uint64_t dead = 0;
    std::uint64_t left = 0;
    std::uint64_t serving = 0;  ///< Of those that are alive.
    std::uint64_t draining = 0; ///< Of those that are alive.
    std::uint64_t starting = 0; ///< Of those that are alive.
    /// No node of the domain, besides the one that counts, is alive, though some should be.
    bool isCutOff = false;
    /// Since the latest word that came straight from another node of the domain; nothing when none came lately.
    std::optional<Duration> heardAge;
};

/// All failure domains of `view`, as the node `self` sees them.
auto summarizeDomains(const membership::MembershipView &view, const HeardVersions &heard,
                      const NodeId &self) -> std::map<std::string, DomainSummary>;

} // namespace stairspur::node
