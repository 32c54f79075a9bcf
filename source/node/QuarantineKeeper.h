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

/// Topic of the datagrams by which gates of one service tell each other of crashes.
inline constexpr auto QuarantineTopic = "quarantine";

/// The request that a call makes, as quarantine tells requests apart.
auto fingerprintOf(const transport::CallRequest &request) -> quarantine::RequestFingerprint;

/// Runs the quarantine of this host's service: takes its peers from the blackboard, sends and logs what the state has made.
/// Belongs to the gate's thread.
class QuarantineKeeper
{
public:
    using Send = std::function<void(const NodeId &to, const std::string &payload)>;
    using Save = std::function<void(const std::string &name, const std::string &saved)>;

    QuarantineKeeper(boost::asio::io_context &io, NodeBoard &board, NodeId node, std::uint64_t seed,
                     Send send);

    /// Called with what has to outlive all nodes: a request is refused now because of what this gate saw, or, with an empty
    /// text, no longer.
    auto setSaveHandler(Save save) -> void { m_save = std::move(save); }

    /// Begins to ask peers.
    auto start() -> void;

    [[nodiscard]] auto decide(const quarantine::RequestFingerprint &request) const
            -> quarantine::QuarantineDecision;
    auto didCrash(const std::vector<quarantine::RequestFingerprint> &requests) -> void;
    auto didAnswer(const quarantine::RequestFingerprint &request) -> void;
    /// A datagram of another node.
    auto receive(const NodeId &from, const std::string &payload) -> void;
    /// What was kept where it outlives all nodes.
    auto restore(const std::string &saved) -> void;
    /// An operator lets a request run again; how many there were of that name.
    auto release(std::string_view name) -> std::size_t;

private:
    auto refreshPeers() -> void;
    auto scheduleTick(TimePoint due) -> void;
    auto tick() -> void;
    auto flush() -> void;
    auto publishEntries() -> void;
    auto report(const quarantine::QuarantineEvent &event) -> void;

    NodeBoard &m_board;
    NodeId m_node;
    quarantine::QuarantineState m_state;
    Send m_send;
    Save m_save;
    transport::Timer m_timer;
    TimePoint m_nextTick;
    std::uint64_t m_membersGeneration = 0;
    std::uint64_t m_backendGeneration = 0;
    bool m_hasEntries = false; ///< The blackboard tells of some.
};

} // namespace stairspur::node
