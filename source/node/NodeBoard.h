#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <stairspur/blackboard/Blackboard.h>
#include <stairspur/config/ConfigurationIndex.h>
#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Announcement.h>
#include <stairspur/membership/Member.h>
#include <stairspur/quarantine/QuarantineState.h>
#include <stairspur/quota/AliveNodes.h>

#include "TrafficState.h"

namespace stairspur::node {

/// The backend server of this host, as described by its latest announcement.
struct LocalBackend
{
    std::string service; ///< Empty: no backend server has announced itself.
    std::uint16_t port = 0;
    std::uint32_t slots = 0;
    membership::ServingState state = membership::ServingState::Starting;
    std::string address = "127.0.0.1";
    membership::BackendIncarnation incarnation{};
    /// The process instance leaves by its own account. The state alone may be due to the node.
    bool hasAnnouncedLeaving = false;
};

/// Returns whether the backend server is shutting down or has left, so that its end or its silence is planned.
inline auto isLeaving(const LocalBackend &backend) -> bool
{
    return backend.state == membership::ServingState::Draining
           || backend.state == membership::ServingState::Left;
}

/// The floors of the services that this host's service calls, as estimated by its entry.
struct ReportedDeeperFloors
{
    std::vector<Level> byRank;
    std::vector<PathFloor> byPath;

    auto operator==(const ReportedDeeperFloors &) const -> bool = default;
};

/// Stage of the node's graceful shutdown.
enum class NodeStage {
    Running,
    Draining, ///< The gate refuses new calls; running calls complete.
    Stopping, ///< No call runs any more; connections are being closed.
};

/// Returns the nodes that can receive requests: those that are neither dead nor left.
inline auto aliveNodes(const membership::MembershipView &view) -> std::vector<quota::AliveNode>
{
    auto nodes = std::vector<quota::AliveNode>();
    for (const auto &it : view.members) {
        if (it.liveness != membership::Liveness::Dead && it.state != membership::ServingState::Left)
            nodes.push_back({it.node, it.startIncarnation});
    }
    return nodes;
}

/// The configuration in force; null before the first one.
using ConfigurationIndexPtr = std::shared_ptr<const config::ConfigurationIndex>;

/// Latest time at which the configuration in force was proven to be the newest.
struct ConfigurationProof
{
    std::optional<TimePoint> provenAt; ///< Empty: never proven.

    /// Returns the time since the proof; empty if there is none.
    [[nodiscard]] auto age(TimePoint now) const -> std::optional<Duration>
    {
        return provenAt ? std::optional<Duration>(now - *provenAt) : std::nullopt;
    }
};

/// State that the controllers and the traffic threads share. Each key has one writer.
struct NodeBoard
{
    blackboard::Entry<ConfigurationIndexPtr>
            configuration; ///< Written by the distribution controller.
    /// Written by the distribution controller, after the configuration to which it refers.
    blackboard::Entry<ConfigurationProof> configurationProof;
    blackboard::Entry<membership::MembershipView>
            members; ///< Written by the membership controller.
    /// When this process last resumed after a suspension; written by the control thread.
    blackboard::Entry<std::optional<TimePoint>> resumedAt;
    blackboard::Entry<LocalBackend> backend; ///< Written by the announcement controller.
    blackboard::Entry<NodeStage> stage;      ///< Written by the drain controller.
    blackboard::Entry<ReportedDeeperFloors> deeperFloors; ///< Written by the entry.
    blackboard::Entry<EntryState> entryState;             ///< Written by the entry's thread.
    blackboard::Entry<GateState> gateState;               ///< Written by the gate's thread.
    /// Suspected and refused requests; written by the gate's thread.
    blackboard::Entry<std::vector<quarantine::QuarantineEntry>> quarantine;
};

} // namespace stairspur::node

template <>
inline constexpr auto stairspur::enumNames<stairspur::node::NodeStage> =
        std::array<std::string_view, 3>{"running", "draining", "stopping"};
