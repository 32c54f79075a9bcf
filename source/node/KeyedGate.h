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

/// Calls that run at most once, on the gate's side: the slots of which this node is primary or witness, with the store and
/// the links that they need. Belongs to the gate's thread.
class KeyedGate
{
public:
    using Service = keyed::KeyedService<store::EtcdStore, transport::PeerClient>;

    /// `own`: this node and its start incarnation. `dispatch` has a bound call executed once. The settings must name a
    /// store, since placements stand there.
    KeyedGate(transport::asio::io_context &io, const NodeSettings &settings, const NodeBoard &board,
              keyed::Replica own, Service::DispatchFunction dispatch, std::uint64_t seed);
    ~KeyedGate();
    KeyedGate(const KeyedGate &) = delete;
    KeyedGate(KeyedGate &&) = delete;
    auto operator=(const KeyedGate &) -> KeyedGate & = delete;
    auto operator=(KeyedGate &&) -> KeyedGate & = delete;

    /// Takes the topic `keyed` of the server's control requests and begins.
    auto start(transport::PeerServer &server) -> void;

    /// A keyed call that an entry's router sent here.
    auto handle(transport::CallRequest request, transport::CancellationPtr cancellation)
            -> transport::Task<transport::CallAnswer>;

    /// `didFinish` runs, with whether all went well, once every slot is handed over or the time for that is up. Then the
    /// survivors of the pairs take over as if this node had failed.
    auto handOver(std::function<void(bool isWhole)> didFinish) -> void;

    /// Called on the gate's thread when a link of its own has fallen silent while another could be opened.
    auto setSilenceObserver(std::function<void()> observer) -> void
    {
        m_peers.setSilenceObserver(std::move(observer));
    }
    /// Looks for links that have fallen silent.
    auto verifyLinks() -> void { m_peers.verifyLinks(); }

    /// Of the links of its own.
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
