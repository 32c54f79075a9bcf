#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <stairspur/core/Time.h>
#include <stairspur/distribution/Actions.h>
#include <stairspur/membership/Member.h>
#include <stairspur/membership/MembershipCounters.h>
#include <stairspur/store/StoreCounters.h>
#include <stairspur/transport/DatagramChannel.h>

#include "AnnouncementLog.h"
#include "ProcessUsage.h"
#include "TrafficState.h"

namespace stairspur::node {

/// The state from which the control metrics are rendered, collected on the control thread.
struct ControlState
{
    std::uint64_t version = 0; ///< Version of the configuration in force; 0: none.
    /// Time since the configuration in force was proven to be the newest; empty: never proven.
    std::optional<Duration> proofAge;
    bool isReady = false;
    bool isRelay = false;
    membership::MembershipView members;
    membership::MembershipCounters membership;
    distribution::DistributionCounters distribution;
    std::optional<store::StoreCounters> store; ///< Empty: this node has no store.
    transport::DatagramTraffic datagrams;
    transport::PeerTraffic controlTraffic; ///< Traffic of the control thread's peer links.
    std::uint32_t controlLinks = 0;
    EntryState entry;
    GateState gate;
    ProcessUsage process;
    std::uint64_t leavingInstances = 0; ///< Process instances that were found to leave.
    IgnoredAnnouncements ignoredAnnouncements{};
    std::uint64_t refusedAnnouncements = 0; ///< Refused announcements of the host's backend server.
};

/// Returns the control metrics in the Prometheus text format. They are rendered for each scrape from the counters of the
/// modules, so that no event is counted in two places.
auto renderControlMetrics(const ControlState &state) -> std::string;

} // namespace stairspur::node
