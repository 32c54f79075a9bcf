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

/// A message that the runtime has to send.
struct OutgoingDatagram
{
    NodeId to;
    std::string payload;
};

/// What the parts of the protocol share: the records, the updates that wait to be passed on, and the way out.
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
        m_self.incarnation = m_settings.start;
        m_self.start = m_settings.start;
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

    /// Sets the services of interest and drops other domains' records of the rest.
    auto setFilter(ServiceFilter filter) -> void
    {
        m_filter = std::move(filter);
        auto unwanted = std::vector<NodeId>();
        for (const auto &[node, entry] : m_table.entries()) {
            if (entry.member.domain != m_self.domain && !m_filter.mayContain(entry.member.service))
                unwanted.push_back(node);
        }
        for (const auto &it : unwanted)
            forget(it);
    }

    auto setAnnotation(std::string annotation) -> void { m_annotation = std::move(annotation); }
    auto takeDatagrams() -> std::vector<OutgoingDatagram> { return std::exchange(m_out, {}); }
    auto takeEvents() -> std::vector<MembershipEvent> { return std::exchange(m_events, {}); }
    /// Updates that still wait to be passed on.
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

    /// Changes what this node says of itself. Each change is a new incarnation, so that it supersedes the last.
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
        noteUrgency(m_self);
    }

    /// The last thing that this node says of itself.
    auto leave() -> void
    {
        if (hasLeft())
            return;
        m_self.state = ServingState::Left;
        m_self.liveness = Liveness::Dead;
        ++m_self.incarnation;
        didChangeSelf();
        noteUrgency(m_self);
    }

    /// Takes a claim of another node in and passes it on if it is news. Claims about this node are refuted.
    ///
    /// Another's verdict that a member of the own domain is dead is not taken over: a node or half of a domain that was
    /// cut off comes back with verdicts on everyone else. The member is probed and told instead; see takeDoubted().
    auto apply(const Member &claim) -> void
    {
        // A node that left said so itself; any other death is the verdict of others.
        const auto isVerdict =
                claim.liveness == Liveness::Dead && claim.state != ServingState::Left;
        const auto isOwn = claim.domain == m_self.domain && claim.node != m_self.node;
        if (Policy::doubtsVerdicts && isVerdict && isOwn)
            doubt(claim);
        else
            applyOwn(claim);
    }

    /// Verdicts on members that are alive as far as this node knows.
    auto takeDoubted() -> std::vector<Member> { return std::exchange(m_doubted, {}); }

    /// Takes in what this node itself has concluded.
    auto applyOwn(Member claim) -> void
    {
        if (claim.node == m_self.node) {
            refute(claim);
            return;
        }
        const auto isOwn = claim.domain == m_self.domain;
        if (!isOwn && !m_filter.mayContain(claim.service))
            return;
        auto &queue = isOwn ? m_ownUpdates : m_foreignUpdates;
        const auto event = m_table.merge(claim, m_now);
        if (!event) {
            if (const auto *known = m_table.find(claim.node); known != nullptr && *known == claim)
                queue.didHearAgain(claim.node, updateSendLimit());
            return;
        }
        queue.push(claim.node);
        if (isOwn)
            updateTimer(claim);
        emit(*event, claim);
        if (*event == MembershipEventKind::Draining || *event == MembershipEventKind::Left)
            noteUrgency(claim);
    }

    /// Members of the own domain that should be told of at once.
    auto takeUrgent() -> std::vector<Member> { return std::exchange(m_urgent, {}); }

    /// Up to `n` random members of the own domain that take part, without `except`.
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

    /// Sends `message` with the own record and as many waiting updates as its share of bytes has room for.
    auto send(const NodeId &to, Message message) -> void
    {
        static constexpr auto OwnUpdateBytes = std::size_t{500};
        static constexpr auto ForeignUpdateBytes = std::size_t{200};
        static constexpr auto MaxStatements = std::size_t{4};
        const auto *receiver = m_table.find(to);
        const auto isPeer = receiver != nullptr && receiver->domain == m_self.domain;
        auto budget = RecordBudget(OwnUpdateBytes);
        if (Policy::tellsSuspects && receiver != nullptr && receiver->liveness != Liveness::Alive
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

    /// Sends `message` with the own record alone.
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

    /// Drops the records of members that are gone for long.
    auto forgetOld() -> void
    {
        auto gone = std::vector<Member>();
        for (const auto &[node, entry] : m_table.entries()) {
            if (!isPresent(entry.member) && m_now - entry.changedAt > retentionOf(entry.member))
                gone.push_back(entry.member);
        }
        for (auto &it : gone) {
            forget(it.node);
            emit(MembershipEventKind::Forgotten, std::move(it));
        }
    }

    /// Tells of the own record at once, again.
    auto repeatSelf() -> void { noteUrgency(m_self); }

private:
    auto forget(const NodeId &node) -> void
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

    /// A random step that visits every place of a list of `size` once.
    auto strideFor(std::size_t size) -> std::size_t
    {
        auto stride = 1 + randomBelow(m_random, size);
        while (std::gcd(stride, size) != 1)
            ++stride;
        return stride;
    }

    auto doubt(const Member &claim) -> void
    {
        static constexpr auto MaxDoubted = std::size_t{64};
        const auto *known = m_table.find(claim.node);
        const auto isConcerned = known != nullptr && known->liveness == Liveness::Alive
                                 && claim.incarnation >= known->incarnation;
        if (isConcerned && m_doubted.size() < MaxDoubted)
            m_doubted.push_back(claim);
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

    auto noteUrgency(const Member &member) -> void
    {
        const auto isLeaving =
                member.state == ServingState::Draining || member.state == ServingState::Left;
        if (Policy::spreadsUrgently && isLeaving && member.domain == m_self.domain)
            m_urgent.push_back(member);
    }

    /// Answers a claim that this node fails, or one of a former process of this host whose clock was ahead.
    auto refute(const Member &claim) -> void
    {
        const auto isNewer = claim.incarnation > m_self.incarnation;
        const auto isWorse = claim.incarnation == m_self.incarnation && claim != m_self;
        if (!Policy::refutes || (!isNewer && !isWorse))
            return;
        m_self.incarnation = claim.incarnation + 1;
        if (claim.start > m_self.start)
            m_self.start = m_self.incarnation;
        ++m_counters.refutations;
        didChangeSelf();
        // The suspicion runs out everywhere at about the same time: the refutation must not wait for probes.
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
    std::vector<Member> m_doubted;
    std::vector<OutgoingDatagram> m_out;
    std::vector<MembershipEvent> m_events;
};

} // namespace stairspur::membership
