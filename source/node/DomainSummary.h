#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Member.h>

#include "ReportedVersions.h"

namespace stairspur::node {

/// Number of members of one failure domain by liveness and serving state. A dead member that had left is counted only in
/// `left`.
struct DomainSummary
{
    std::uint64_t alive = 0;
    std::uint64_t suspect = 0;
    std::uint64_t dead = 0;
    std::uint64_t left = 0;
    std::uint64_t serving = 0;  ///< Alive and serving.
    std::uint64_t draining = 0; ///< Alive and draining.
    std::uint64_t starting = 0; ///< Alive and starting.
    /// Whether no other node of the domain is alive and at least one is suspect or dead without having left.
    bool isCutOff = false;
    /// Time since the latest report received directly from another node of the domain; empty if there is no recent one.
    std::optional<Duration> lastSeenAge;
};

/// Returns the summaries of all failure domains in `view`, by name, from the viewpoint of the node `self`. `reported`: the
/// versions that other nodes have reported recently.
auto summarizeDomains(const membership::MembershipView &view, const ReportedVersionMap &reported,
                      const NodeId &self) -> std::map<std::string, DomainSummary>;

} // namespace stairspur::node
