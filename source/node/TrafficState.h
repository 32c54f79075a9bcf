#pragma once

#include <cstdint>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/store/StoreCounters.h>
#include <stairspur/transport/PeerSettings.h>

namespace stairspur::node {

/// The latest published state of the entry's thread, for metrics and status. Only the entry's thread can read the state
/// itself.
struct EntryState
{
    std::uint32_t connections = 0;
    std::uint32_t links = 0; ///< Number of links to other nodes.
    transport::PeerTraffic traffic;
};

/// The latest published state of the gate's thread, for metrics and status.
struct GateState
{
    admission::LoadReport load;
    transport::PeerTraffic traffic;
    transport::PeerTraffic keyedTraffic; ///< Traffic of the links for calls that run at most once.
    store::StoreCounters keyedStoreCounters; ///< Counters of the store client for these.
};

} // namespace stairspur::node
