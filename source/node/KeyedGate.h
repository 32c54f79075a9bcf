#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/keyed/KeyedService.h>
#include <stairspur/node/NodeSettings.h>
#include <stairspur/store/EtcdStore.h>
#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>
#include <stairspur/transport/Timer.h>

#include "NodeBoard.h"

namespace stairspur::node {

/// The gate's part of the calls that run at most once: the slots of which this node is primary or witness, with the store
/// client and the peer links that they need. Belongs to the gate's thread.
class KeyedGate
{
public:
    using Service = keyed::KeyedService<store::EtcdStore, transport::PeerClient>;

    /// `own` is this node with its incarnation. `dispatch` executes a bound call once. The settings must name a store, since
    /// placements are stored there.
    KeyedGate(transport::asio::io_context &io, const NodeSettings &settings, const NodeBoard &board,
              keyed::Replica own, Service::DispatchFunction dispatch, std::uint64_t seed);
    ~KeyedGate();
    KeyedGate(const KeyedGate &) = delete;
    KeyedGate(KeyedGate &&) = delete;
    auto operator=(const KeyedGate &) -> KeyedGate & = delete;
    auto operator=(KeyedGate &&) -> KeyedGate & = delete;

    /// Registers the handler of the server's topic `keyed` and starts the service.
    auto start(transport::PeerServer &server) -> void;

    /// Serves a keyed call that an entry's router sent to this node.
    auto handle(transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;

    /// Hands over all slots of this node. Calls `didFinish` once every slot is handed over (`isComplete`) or the time for that
    /// is over. In the second case the remaining nodes of the pairs take over as if this node had failed.
    auto handOver(std::function<void(bool isComplete)> didFinish) -> void;

    /// Sets the function that is called on the gate's thread when one of its own links is silent while another one could be
    /// opened.
    auto setSilenceObserver(std::function<void()> observer) -> void
    {
        m_peers.setSilenceObserver(std::move(observer));
    }
    /// Checks the links for silent ones.
    auto verifyLinks() -> void { m_peers.verifyLinks(); }

    /// Returns the traffic of its own links.
    [[nodiscard]] auto traffic() const -> transport::PeerTraffic { return m_peers.traffic(); }
    [[nodiscard]] auto storeCounters() const -> const store::StoreCounters &
    {
        return m_store.counters();
    }

private:
    auto scheduleRefresh() -> void;
    auto refreshFromBoard() -> void;
    auto finishHandOver() -> void;

    const NodeBoard &m_board;
    store::EtcdStore m_store;
    transport::PeerClient m_peers;
    Service m_service;
    transport::Timer m_timer;
    std::uint64_t m_membersGeneration = 0;
    std::uint64_t m_configurationGeneration = 0;
    std::function<void(bool)> m_didHandOver;
    TimePoint m_handOverEnd;
};

} // namespace stairspur::node
