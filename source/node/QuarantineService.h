#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <stairspur/quarantine/QuarantineState.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/Timer.h>

#include "NodeBoard.h"

namespace stairspur::node {

/// Topic of the crash reports between gates of one service.
inline constexpr auto QuarantineTopic = "quarantine";

/// Returns the fingerprint by which the quarantine identifies the request of a call.
auto fingerprintOf(const transport::CallRequest &request) -> quarantine::RequestFingerprint;

/// Runs the quarantine of this host's service: reads the peers from the blackboard, sends the datagrams of QuarantineState
/// and logs its events. Belongs to the gate's thread.
class QuarantineService
{
public:
    using Send = std::function<void(const NodeId &to, const std::string &payload)>;
    using Save = std::function<void(const std::string &name, const std::string &saved)>;

    QuarantineService(boost::asio::io_context &io, NodeBoard &board, NodeId node,
                      std::uint64_t seed, Send send);

    /// Sets the function that saves records which must survive a restart of all nodes. It is called when a request becomes
    /// refused because of a crash at this gate, and with an empty text when it is no longer refused.
    auto setSaveHandler(Save save) -> void { m_save = std::move(save); }

    /// Starts the periodic queries to peers.
    auto start() -> void;

    [[nodiscard]] auto decide(const quarantine::RequestFingerprint &request) const
            -> quarantine::QuarantineDecision;
    /// Records a crash of the backend server while `requests` ran.
    auto didCrash(const std::vector<quarantine::RequestFingerprint> &requests) -> void;
    /// Records that the backend server answered `request`.
    auto didAnswer(const quarantine::RequestFingerprint &request) -> void;
    /// Processes a datagram of another node.
    auto receive(const NodeId &from, const std::string &payload) -> void;
    /// Restores a record that was saved to the store.
    auto restore(const std::string &saved) -> void;
    /// Releases the requests named `name` for an operator, so that they may run again. Returns their number.
    auto release(std::string_view name) -> std::size_t;

private:
    auto refreshPeers() -> void;
    auto scheduleTick(TimePoint due) -> void;
    auto tick() -> void;
    auto flush() -> void;
    auto publishEntries() -> void;
    auto handleEvent(const quarantine::QuarantineEvent &event) -> void;

    NodeBoard &m_board;
    NodeId m_node;
    quarantine::QuarantineState m_state;
    Send m_send;
    Save m_save;
    transport::Timer m_timer;
    TimePoint m_nextTick;
    std::uint64_t m_membersGeneration = 0;
    std::uint64_t m_backendGeneration = 0;
    bool m_hasEntries = false; ///< Whether the list on the blackboard is not empty.
};

} // namespace stairspur::node
