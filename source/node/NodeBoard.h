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

/// The backend server of this host, as it announced itself.
struct LocalBackend
{
    std::string service; ///< Empty: none has announced itself.
    std::uint16_t port = 0;
    std::uint32_t slots = 0;
    membership::ServingState state = membership::ServingState::Starting;
    std::string address = "127.0.0.1";
    membership::BackendIncarnation life{};
};

/// Whether its end, or its silence, is planned.
inline auto isLeaving(const LocalBackend &backend) -> bool
{
    return backend.state == membership::ServingState::Draining
           || backend.state == membership::ServingState::Left;
}

/// The floors of the services below this host's, as its entry sees them.
struct DeeperFloorsHeard
{
    std::vector<Level> byRank;
    std::vector<PathFloor> byPath;

    auto operator==(const DeeperFloorsHeard &) const -> bool = default;
};

/// How far the node's graceful shutdown has come.
enum class LifeStage {
    Running,
    Draining, ///< The gate refuses new work; running work ends.
    Stopping, ///< Nothing runs any more; connections are being closed.
};

/// The nodes that can be asked for something: neither dead nor gone.
inline auto aliveNodes(const membership::MembershipView &view) -> std::vector<quota::AliveNode>
{
    auto nodes = std::vector<quota::AliveNode>();
    for (const auto &it : view.members) {
        if (it.liveness != membership::Liveness::Dead && it.state != membership::ServingState::Left)
            nodes.push_back({it.node, it.startIncarnation});
    }
    return nodes;
}

/// The configuration in force; null before there is any.
using ConfigurationIndexPtr = std::shared_ptr<const config::ConfigurationIndex>;

/// How lately the configuration in force was the newest; nothing: not known.
struct ConfigurationProof
{
    std::optional<TimePoint> provenAt;

    [[nodiscard]] auto age(TimePoint now) const -> std::optional<Duration>
    {
        return provenAt ? std::optional<Duration>(now - *provenAt) : std::nullopt;
    }
};

/// What the controllers and the traffic threads know in common. Each key has one writer.
struct NodeBoard
{
    blackboard::Entry<ConfigurationIndexPtr>
            configuration; ///< Written by the distribution controller.
    /// Written by the distribution controller, after the configuration that it speaks of.
    blackboard::Entry<ConfigurationProof> configurationProof;
    blackboard::Entry<membership::MembershipView>
            members;                                   ///< Written by the membership controller.
    blackboard::Entry<LocalBackend> backend;           ///< Written by the announcement controller.
    blackboard::Entry<LifeStage> stage;                ///< Written by the drain controller.
    blackboard::Entry<DeeperFloorsHeard> deeperFloors; ///< Written by the entry.
    blackboard::Entry<EntryState> entryState;          ///< Written by the entry's thread.
    blackboard::Entry<GateState> gateState;            ///< Written by the gate's thread.
    /// Requests on trial or refused; written by the gate's thread.
    blackboard::Entry<std::vector<quarantine::QuarantineEntry>> quarantine;
};

} // namespace stairspur::node

template <>
inline constexpr auto stairspur::enumNames<stairspur::node::LifeStage> =
        std::array<std::string_view, 3>{"running", "draining", "stopping"};
