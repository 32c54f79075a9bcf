#pragma once

#include <algorithm>
#include <numeric>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/membership/ContactStatements.h>
#include <stairspur/membership/MemberTable.h>
#include <stairspur/membership/MembershipCounters.h>
#include <stairspur/membership/MembershipEvent.h>
#include <stairspur/membership/MembershipPolicy.h>
#include <stairspur/membership/MembershipSettings.h>
#include <stairspur/membership/Message.h>
#include <stairspur/membership/ServiceFilter.h>
#include <stairspur/membership/SuspicionTimers.h>
#include <stairspur/membership/UpdateQueue.h>

namespace stairspur::membership {

/// A datagram to be sent by the runtime.
struct OutgoingDatagram
{
    NodeId to;
    std::string payload;
};

/// State shared by the parts of the protocol: records, queued updates, and outgoing datagrams and events.
template <MembershipPolicy Policy>
class MembershipCore
{
public:
    MembershipCore(MembershipSettings settings, std::uint64_t seed, TimePoint now)
        : m_settings(std::move(settings))
        , m_random(seed)
        , m_now(now)
        , m_table(m_settings)
        , m_ownUpdates(seed)
        , m_foreignUpdates(seed)
    {
        m_self.node = m_settings.node;
        m_self.domain = m_settings.domain;
        m_self.incarnation = m_settings.startIncarnation;
        m_self.startIncarnation = m_settings.startIncarnation;
        didChangeSelf();
    }

    [[nodiscard]] auto settings() const -> const MembershipSettings & { return m_settings; }
    [[nodiscard]] auto now() const -> TimePoint { return m_now; }
    [[nodiscard]] auto self() const -> const Member & { return m_self; }
    [[nodiscard]] auto hasLeft() const -> bool { return m_self.liveness == Liveness::Dead; }
    [[nodiscard]] auto table() const -> const MemberTable<Policy> & { return m_table; }
    auto table() -> MemberTable<Policy> & { return m_table; }
    auto random() -> Random & { return m_random; }
    auto counters() -> MembershipCounters & { return m_counters; }
    [[nodiscard]] auto counters() const -> const MembershipCounters & { return m_counters; }
    auto timers() -> SuspicionTimers & { return m_timers; }
    auto statements() -> ContactStatements & { return m_statements; }
    [[nodiscard]] auto statements() const -> const ContactStatements & { return m_statements; }
    auto setNow(TimePoint now) -> void { m_now = now; }
    [[nodiscard]] auto filter() const -> const ServiceFilter & { return m_filter; }

    /// Sets the services of interest and removes the records of other domains that do not match them.
    auto setFilter(ServiceFilter filter) -> void
    {
        m_filter = std::move(filter);
        auto unwanted = std::vector<NodeId>();
        for (const auto &[node, entry] : m_table.entries()) {
            if (entry.member.domain != m_self.domain && !m_filter.mayContain(entry.member.service))
                unwanted.push_back(node);
        }
        for (const auto &it : unwanted)
            remove(it);
    }

    auto setAnnotation(std::string annotation) -> void { m_annotation = std::move(annotation); }
    auto takeDatagrams() -> std::vector<OutgoingDatagram> { return std::exchange(m_out, {}); }
    auto takeEvents() -> std::vector<MembershipEvent> { return std::exchange(m_events, {}); }
    /// Returns the number of updates that are queued for sending.
    [[nodiscard]] auto waitingUpdates() const -> std::size_t
    {
        return m_ownUpdates.size() + m_foreignUpdates.size();
    }

    auto emit(MembershipEventKind kind, Member member, std::string domain = {}) -> void
    {
        m_events.push_back({kind, std::move(member), std::move(domain), {}});
    }

    auto emitAnnotation(const NodeId &from, const std::string &annotation) -> void
    {
        auto event = MembershipEvent{MembershipEventKind::Annotation, {}, {}, annotation};
        event.member.node = from;
        m_events.push_back(std::move(event));
    }

    /// Changes the own record. Each change increases the incarnation, so that it supersedes the previous record.
    auto changeSelf(const std::string &service, std::uint32_t slots, ServingState state) -> void
    {
        if (hasLeft()
            || (service == m_self.service && slots == m_self.slots && state == m_self.state))
            return;
        m_self.service = service;
        m_self.slots = slots;
        m_self.state = state;
        ++m_self.incarnation;
        didChangeSelf();
        queueIfUrgent(m_self);
    }

    /// Publishes that this node leaves. This is the last change of its own record.
    auto leave() -> void
    {
        if (hasLeft())
            return;
        m_self.state = ServingState::Left;
        m_self.liveness = Liveness::Dead;
        ++m_self.incarnation;
        didChangeSelf();
        queueIfUrgent(m_self);
    }

    /// Applies a claim of another node and queues it for forwarding if it changes a record. Claims about this node
    /// are refuted.
    ///
    /// A claim by another node that a member of the own domain is dead is not applied: a node or half of a domain
    /// that was cut off returns with such claims about all other members. The member is probed and sent the claim
    /// instead; see takeDisputed().
    auto apply(const Member &claim) -> void
    {
        // A node that leaves publishes its own record as dead; every other death is claimed by other nodes.
        const auto isDeathClaim =
                claim.liveness == Liveness::Dead && claim.state != ServingState::Left;
        const auto isOwnDomain = claim.domain == m_self.domain && claim.node != m_self.node;
        if (Policy::verifiesDeathClaims && isDeathClaim && isOwnDomain)
            addDisputed(claim);
        else
            applyLocal(claim);
    }

    /// Returns and clears the death claims about members whose current record is alive.
    auto takeDisputed() -> std::vector<Member> { return std::exchange(m_disputed, {}); }

    /// Applies a claim without verification: a conclusion of this node, or a claim that apply() accepts.
    auto applyLocal(Member claim) -> void
    {
        if (claim.node == m_self.node) {
            refute(claim);
            return;
        }
        const auto isOwnDomain = claim.domain == m_self.domain;
        if (!isOwnDomain && !m_filter.mayContain(claim.service))
            return;
        auto &queue = isOwnDomain ? m_ownUpdates : m_foreignUpdates;
        const auto event = m_table.merge(claim, m_now);
        if (!event) {
            if (const auto *current = m_table.find(claim.node);
                current != nullptr && *current == claim)
                queue.didReceiveDuplicate(claim.node, updateSendLimit());
            return;
        }
        queue.push(claim.node);
        if (isOwnDomain)
            updateTimer(claim);
        emit(*event, claim);
        if (*event == MembershipEventKind::Draining || *event == MembershipEventKind::Left)
            queueIfUrgent(claim);
    }

    /// Returns and clears the members of the own domain whose records are to be sent without delay.
    auto takeUrgent() -> std::vector<Member> { return std::exchange(m_urgent, {}); }

    /// Returns up to `n` random present members of the own domain, without `except`.
    auto randomPeers(std::size_t n, const NodeId &except = {}) -> std::vector<NodeId>
    {
        auto chosen = std::vector<NodeId>();
        const auto &peers = m_table.peers();
        if (peers.empty())
            return chosen;
        const auto start = randomBelow(m_random, peers.size());
        const auto stride = strideFor(peers.size());
        for (std::size_t index = 0; index < peers.size() && chosen.size() < n; ++index) {
            const auto &it = peers[(start + index * stride) % peers.size()];
            if (it != except)
                chosen.push_back(it);
        }
        return chosen;
    }

    /// Sends `message` with the own record and as many queued updates as fit into their byte budgets.
    auto send(const NodeId &to, Message message) -> void
    {
        static constexpr auto OwnUpdateBytes = std::size_t{500};
        static constexpr auto ForeignUpdateBytes = std::size_t{200};
        static constexpr auto MaxStatements = std::size_t{4};
        const auto *receiver = m_table.find(to);
        const auto isPeer = receiver != nullptr && receiver->domain == m_self.domain;
        auto budget = RecordBudget(OwnUpdateBytes);
        if (Policy::notifiesSuspects && receiver != nullptr && receiver->liveness != Liveness::Alive
            && budget.take(*receiver))
            message.updates.push_back(*receiver);
        if (isPeer && mayCarryUpdates(message.kind)) {
            const auto limit = updateSendLimit();
            append(message.updates, m_ownUpdates.take(m_table, budget, limit));
            auto foreignBudget = RecordBudget(ForeignUpdateBytes);
            append(message.updates, m_foreignUpdates.take(m_table, foreignBudget, limit));
            message.statements = m_statements.take(MaxStatements, limit);
        }
        sendPlain(to, std::move(message));
    }

    /// Sends `message` with the own record and without updates.
    auto sendPlain(const NodeId &to, Message message) -> void
    {
        message.self = m_self;
        if (mayCarryAnnotation(message.kind))
            message.annotation = m_annotation;
        auto payload = encode(message);
        ++m_counters.datagramsSent;
        m_counters.bytesSent += payload.size();
        m_out.push_back({to, std::move(payload)});
    }

    /// Removes the records of members that have been absent for longer than their retention time.
    auto removeExpired() -> void
    {
        auto absent = std::vector<Member>();
        for (const auto &[node, entry] : m_table.entries()) {
            if (!isPresent(entry.member) && m_now - entry.changedAt > retentionOf(entry.member))
                absent.push_back(entry.member);
        }
        for (auto &it : absent) {
            remove(it.node);
            emit(MembershipEventKind::Forgotten, std::move(it));
        }
    }

    /// Sends the own record again without delay.
    auto resendSelf() -> void { queueIfUrgent(m_self); }

private:
    auto remove(const NodeId &node) -> void
    {
        m_table.erase(node);
        m_timers.stop(node);
        m_ownUpdates.erase(node);
        m_foreignUpdates.erase(node);
    }

    static auto mayCarryUpdates(MessageKind kind) -> bool
    {
        return kind == MessageKind::Ping || kind == MessageKind::Ack
               || kind == MessageKind::PingRequest || kind == MessageKind::Gossip;
    }

    static auto mayCarryAnnotation(MessageKind kind) -> bool
    {
        return kind == MessageKind::Ping || kind == MessageKind::Ack || kind == MessageKind::Digest;
    }

    static auto append(std::vector<Member> &updates, std::vector<Member> more) -> void
    {
        updates.insert(updates.end(), std::make_move_iterator(more.begin()),
                       std::make_move_iterator(more.end()));
    }

    /// Returns a random stride that visits each index of a list of `size` elements once.
    auto strideFor(std::size_t size) -> std::size_t
    {
        auto stride = 1 + randomBelow(m_random, size);
        while (std::gcd(stride, size) != 1)
            ++stride;
        return stride;
    }

    auto addDisputed(const Member &claim) -> void
    {
        static constexpr auto MaxDisputed = std::size_t{64};
        const auto *current = m_table.find(claim.node);
        const auto isRelevant = current != nullptr && current->liveness == Liveness::Alive
                                && claim.incarnation >= current->incarnation;
        if (isRelevant && m_disputed.size() < MaxDisputed)
            m_disputed.push_back(claim);
    }

    auto updateSendLimit() -> std::uint32_t
    {
        return sendLimit(m_settings.retransmitMultiplier, m_table.peers().size());
    }

    auto didChangeSelf() -> void
    {
        m_table.setSelf(m_self, m_now);
        m_ownUpdates.push(m_self.node);
    }

    auto queueIfUrgent(const Member &member) -> void
    {
        const auto isLeaving =
                member.state == ServingState::Draining || member.state == ServingState::Left;
        if (Policy::sendsUrgentUpdates && isLeaving && member.domain == m_self.domain)
            m_urgent.push_back(member);
    }

    /// Refutes a claim that this node has failed, or a claim from an earlier process instance on this host whose
    /// clock was ahead.
    auto refute(const Member &claim) -> void
    {
        const auto isNewer = claim.incarnation > m_self.incarnation;
        const auto isWorse = claim.incarnation == m_self.incarnation && claim != m_self;
        if (!Policy::refutes || (!isNewer && !isWorse))
            return;
        m_self.incarnation = claim.incarnation + 1;
        if (claim.startIncarnation > m_self.startIncarnation)
            m_self.startIncarnation = m_self.incarnation;
        ++m_counters.refutations;
        didChangeSelf();
        // The suspicion expires on all nodes at about the same time, so the refutation must not wait for probes.
        m_urgent.push_back(m_self);
        emit(MembershipEventKind::Refuted, m_self);
    }

    auto updateTimer(const Member &member) -> void
    {
        if (member.liveness != Liveness::Suspect || !isPresent(member)) {
            m_timers.stop(member.node);
            return;
        }
        m_timers.start(member.node, m_now + suspicionTimeout(m_settings, m_table.peers().size()));
    }

    [[nodiscard]] auto retentionOf(const Member &member) const -> Duration
    {
        if (member.domain != m_self.domain)
            return m_settings.foreignRetention;
        return member.state == ServingState::Left ? m_settings.leftRetention
                                                  : m_settings.deadRetention;
    }

    MembershipSettings m_settings;
    Random m_random;
    TimePoint m_now;
    Member m_self;
    MemberTable<Policy> m_table;
    UpdateQueue<Policy> m_ownUpdates;
    UpdateQueue<Policy> m_foreignUpdates;
    SuspicionTimers m_timers;
    ContactStatements m_statements;
    MembershipCounters m_counters;
    ServiceFilter m_filter;
    std::string m_annotation;
    std::vector<Member> m_urgent;
    std::vector<Member> m_disputed;
    std::vector<OutgoingDatagram> m_out;
    std::vector<MembershipEvent> m_events;
};

} // namespace stairspur::membership
