#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/LeavingInstances.h>
#include <stairspur/membership/LeavingMessage.h>
#include <stairspur/membership/Member.h>

namespace stairspur::membership {

/// Records the leaving process instances of each host on some other nodes, its replicas, so that a node that has
/// restarted gets those of its host back. Only memory is used, so the records don't outlast a restart of all nodes.
///
/// The replicas are the first alive nodes of the host's failure domain by rendezvous rank, and the first one of two other
/// domains. A request carries all ids of the sender's host and is answered with all ids recorded for it. Both sides add
/// the ids that they lack, so messages may be lost, repeated and reordered. A request is repeated until each replica has
/// confirmed each id.
class LeavingReplication
{
public:
    LeavingReplication(NodeId ownNode, std::string domain, TimePoint now);

    /// Sets the current view, which determines the replicas.
    auto setView(std::shared_ptr<const MembershipView> view, TimePoint now) -> void;

    /// Sets the leaving instances of the own host, which only grow.
    auto setOwn(const LeavingInstances &own, TimePoint now) -> void;

    /// Processes a message and returns the ids in it that belong to the own host.
    auto receive(const NodeId &from, const LeavingMessage &message, TimePoint now)
            -> std::vector<std::uint64_t>;

    /// Repeats requests that were not answered.
    auto tick(TimePoint now) -> void;

    /// Returns whether the records of the own host from before this node's start have arrived from the replicas, or the
    /// wait for them is over.
    [[nodiscard]] auto isComplete(TimePoint now) const -> bool;

    /// Returns whether each replica has confirmed all own ids. A node without replicas has nobody to wait for.
    [[nodiscard]] auto isRecordedByAll() const -> bool;
    /// Returns whether at least one replica has confirmed all own ids.
    [[nodiscard]] auto isRecordedByAny() const -> bool;

    auto takeMessages() -> std::vector<std::pair<NodeId, LeavingMessage>>;

private:
    /// A node that is asked to record the own ids.
    struct Replica
    {
        Incarnation startIncarnation = 0;
        bool hasReplied = false;
        TimePoint firstAskedAt{};
        TimePoint askedAt{};
        Duration repeatInterval{0};
        std::uint32_t requests = 0;
        std::set<std::uint64_t> confirmed;
    };

    /// What this node records for another host.
    struct Record
    {
        LeavingInstances ids;
        TimePoint lastSeenAt;
    };

    [[nodiscard]] auto find(const NodeId &node) const -> const Member *;
    [[nodiscard]] auto domainReplicasOf(const NodeId &node) const -> std::vector<NodeId>;
    [[nodiscard]] auto replicasOfOwnHost() const -> std::vector<const Member *>;
    [[nodiscard]] auto hasConfirmed(const Replica &replica) const -> bool;
    [[nodiscard]] auto isPending(const Replica &replica) const -> bool;
    auto ask(const NodeId &node, Replica &replica, TimePoint now) -> void;
    auto reply(const NodeId &to, const LeavingMessage &request, TimePoint now) -> void;
    auto didReply(const NodeId &from, const LeavingMessage &message, TimePoint now)
            -> std::vector<std::uint64_t>;
    auto keepRecordsOfMembers(TimePoint now) -> void;
    auto removeExpired(TimePoint now) -> void;

    NodeId m_ownNode;
    std::string m_domain;
    TimePoint m_startedAt;
    std::shared_ptr<const MembershipView> m_view;
    LeavingInstances m_own;
    std::map<NodeId, Replica> m_replicas;
    std::map<NodeId, Record> m_records;
    std::vector<std::pair<NodeId, LeavingMessage>> m_out;
};

} // namespace stairspur::membership
