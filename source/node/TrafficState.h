#pragma once

#include <cstdint>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/store/StoreCounters.h>
#include <stairspur/transport/PeerSettings.h>

namespace stairspur::node {

/// What operators see of the entry's thread, as it last published it: where it stands, nobody else may read it.
struct EntryState
{
    std::uint32_t connections = 0;
    std::uint32_t links = 0; ///< To other nodes.
    transport::PeerTraffic traffic;
};

/// What operators see of the gate's thread, as it last published it.
struct GateState
{
    admission::LoadReport load;
    transport::PeerTraffic traffic;
    transport::PeerTraffic keyedTraffic;     ///< Of the links for calls that run at most once.
    store::StoreCounters keyedStoreCounters; ///< Of the store's client for these.
};

} // namespace stairspur::node
