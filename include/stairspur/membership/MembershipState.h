#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <stairspur/core/Error.h>
#include <stairspur/membership/DigestExchange.h>
#include <stairspur/membership/FailureDetector.h>
#include <stairspur/membership/MembershipCore.h>
#include <stairspur/membership/PeerDiscovery.h>
#include <stairspur/membership/RelayExchange.h>

namespace stairspur::membership {

/// The membership protocol of one node, without I/O and clock: the caller passes in time, datagrams and random seed,
/// and takes out datagrams and events. See docs/design/membership.md.
template <MembershipPolicy Policy>
class BasicMembershipState
{
public:
    BasicMembershipState(MembershipSettings settings, std::uint64_t seed, TimePoint now)
        : m_core(std::move(settings), seed, now)
        , m_detector(m_core)
        , m_exchange(m_core)
        , m_relays(m_core, m_exchange)
        , m_discovery(m_core, m_detector)
        , m_lastAdvance(now)
        , m_nextPeriod(now + phase())
    {}

    BasicMembershipState(const BasicMembershipState &) = delete;
    BasicMembershipState(BasicMembershipState &&) = delete;
    auto operator=(const BasicMembershipState &) -> BasicMembershipState & = delete;
    auto operator=(BasicMembershipState &&) -> BasicMembershipState & = delete;
    ~BasicMembershipState() = default;

    /// Runs the work that is due at `now`. It should be called about ten times in each protocol period.
    auto tick(TimePoint now) -> void
    {
        advanceTo(now);
        if (!m_core.hasLeft())
            m_detector.tick();
        if (now >= m_nextPeriod) {
            m_nextPeriod = std::max(m_nextPeriod, now - currentPeriod() / 2) + currentPeriod();
            beginPeriod();
        }
        sendUrgent();
    }

    /// Processes one datagram. Invalid datagrams are counted and dropped.
    auto receive(TimePoint now, const NodeId &from, std::string_view bytes) -> void
    {
        advanceTo(now);
        auto &counters = m_core.counters();
        ++counters.datagramsReceived;
        counters.bytesReceived += bytes.size();
        try {
            if (bytes.size() > m_core.settings().maxPayloadBytes + MaxSurplusBytes)
                throw MessageError("membership message: the datagram is too large",
                                   "send datagrams of at most 1400 bytes");
            const auto message = decode(bytes);
            if (message.self.node != from || from == m_core.self().node)
                throw MessageError(
                        "membership message: its sender is not the sender of the datagram",
                        "set the address of each node to the one by which others reach it");
            handle(from, message);
        } catch (const InputError &) {
            ++counters.rejectedDatagrams;
        }
        sendUrgent();
    }

    /// Sets the state of the local backend server. `service` is empty if there is none.
    auto setSelf(TimePoint now, const std::string &service, std::uint32_t slots, ServingState state)
            -> void
    {
        advanceTo(now);
        m_core.changeSelf(service, slots, state);
        sendUrgent();
    }

    /// Sets the services that the nodes of this domain call. The set must be the same on every node of the domain.
    auto setServicesOfInterest(const std::set<std::string> &services) -> void
    {
        m_relays.setServicesOfInterest(services);
    }

    /// Sets opaque bytes that every probe and answer carries. Throws InputError above MaxAnnotationBytes.
    auto setAnnotation(std::string annotation) -> void
    {
        if (annotation.size() > MaxAnnotationBytes)
            throw InputError("an annotation of " + std::to_string(annotation.size())
                                     + " bytes is too long",
                             "use at most 24 bytes");
        m_core.setAnnotation(std::move(annotation));
    }

    /// Adds addresses from the platform's store that may be nodes.
    auto addHints(const std::vector<NodeId> &nodes) -> void { m_discovery.addHints(nodes); }

    /// Notifies the other nodes that this node leaves, at once and in the next three periods. The node neither probes
    /// nor answers from then on.
    auto leave(TimePoint now) -> void
    {
        advanceTo(now);
        m_core.leave();
        sendUrgent();
    }

    auto takeDatagrams() -> std::vector<OutgoingDatagram> { return m_core.takeDatagrams(); }
    auto takeEvents() -> std::vector<MembershipEvent> { return m_core.takeEvents(); }

    /// Returns all records. Alive members of a domain that no relay reaches are shown as suspect.
    [[nodiscard]] auto view() const -> MembershipView
    {
        auto view = MembershipView();
        view.members.reserve(m_core.table().entries().size());
        for (const auto &[node, entry] : m_core.table().entries()) {
            view.members.push_back(entry.member);
            auto &member = view.members.back();
            if (member.liveness == Liveness::Alive && !m_relays.isReachable(member.domain))
                member.liveness = Liveness::Suspect;
        }
        return view;
    }

    [[nodiscard]] auto find(const NodeId &node) const -> const Member *
    {
        return m_core.table().find(node);
    }
    [[nodiscard]] auto self() const -> const Member & { return m_core.self(); }
    [[nodiscard]] auto counters() const -> const MembershipCounters & { return m_core.counters(); }
    [[nodiscard]] auto waitingUpdates() const -> std::size_t { return m_core.waitingUpdates(); }
    [[nodiscard]] auto isReachable(const std::string &domain) const -> bool
    {
        return m_relays.isReachable(domain);
    }

private:
    static constexpr auto MaxSurplusBytes = std::size_t{200};
    static constexpr auto PausePeriods = 3;

    [[nodiscard]] auto currentPeriod() const -> Duration
    {
        static constexpr auto QuickDivisor = 5;
        const auto &settings = m_core.settings();
        return m_periods < settings.quickPeriods ? settings.period / QuickDivisor : settings.period;
    }

    /// Returns a random offset, so that the periods of different nodes start at different times.
    auto phase() -> Duration
    {
        const auto period = static_cast<std::uint64_t>(currentPeriod().count());
        return Duration(static_cast<Duration::rep>(randomBelow(m_core.random(), period)));
    }

    auto advanceTo(TimePoint now) -> void
    {
        const auto gap = std::chrono::duration_cast<Duration>(now - m_lastAdvance);
        m_lastAdvance = now;
        m_core.setNow(now);
        if (gap < m_core.settings().period * PausePeriods)
            return;
        m_nextPeriod = std::max(m_nextPeriod, now);
        if (!Policy::detectsPauses)
            return;
        ++m_core.counters().pauses;
        m_detector.didPause(gap);
        m_relays.didPause(gap);
        m_exchange.scheduleExchange(m_core.self().domain);
        m_core.emit(MembershipEventKind::Paused, m_core.self());
    }

    auto beginPeriod() -> void
    {
        static constexpr auto PeriodsToForget = 16;
        m_remainingUrgent = m_core.settings().maxUrgentPerPeriod;
        if (m_core.hasLeft()) {
            if (m_leaveRepetitions > 0) {
                --m_leaveRepetitions;
                m_core.resendSelf();
            }
            return;
        }
        if (++m_periods % PeriodsToForget == 0)
            m_core.removeExpired();
        m_detector.beginPeriod();
        m_exchange.beginPeriod();
        m_relays.beginPeriod();
        m_discovery.beginPeriod();
    }

    auto handle(const NodeId &from, const Message &message) -> void
    {
        if (m_core.hasLeft())
            return;
        const auto isPeer = message.self.domain == m_core.self().domain;
        const auto *current = m_core.table().find(from);
        const auto wasAbsent = isPeer && current != nullptr && !isPresent(*current);
        m_core.apply(message.self);
        if (!isPeer)
            m_relays.didReceive(from, message);
        // A node that was declared dead is back: its records may be those of the other half of a healed partition.
        if (Policy::notifiesSuspects && wasAbsent && isPresent(message.self))
            m_exchange.scheduleExchange(m_core.self().domain, from);
        if (!message.annotation.empty())
            m_core.emitAnnotation(from, message.annotation);
        const auto accepted = withoutRejected(message, isPeer);
        if (isExchange(message.kind)) {
            handleExchange(from, accepted);
            return;
        }
        for (const auto &it : accepted.updates)
            m_core.apply(it);
        for (const auto &it : accepted.statements)
            m_core.statements().merge(it);
        handleProbe(from, accepted, isPeer);
    }

    static auto isExchange(MessageKind kind) -> bool
    {
        return kind == MessageKind::Digest || kind == MessageKind::Records
               || kind == MessageKind::RecordsBack;
    }

    /// Returns `message` without the parts that its sender may not send: nodes of another domain send records of that
    /// domain's members only, and no contact statements.
    auto withoutRejected(const Message &message, bool isPeer) -> Message
    {
        auto accepted = message;
        if (isPeer || !Policy::checksRecordDomains)
            return accepted;
        const auto isForeign = [&](const Member &it) {
            return it.domain != message.self.domain && it.node != m_core.self().node;
        };
        m_core.counters().rejectedRecords += std::erase_if(accepted.updates, isForeign);
        accepted.statements.clear();
        return accepted;
    }

    auto handleExchange(const NodeId &from, const Message &message) -> void
    {
        const auto isPeer = message.self.domain == m_core.self().domain;
        if (message.kind == MessageKind::Digest) {
            if (isPeer || message.digestDomain == m_core.self().domain)
                m_exchange.didReceiveDigest(from, message);
            return;
        }
        m_exchange.didReceiveRecords(from, message);
        if (!isPeer && message.kind == MessageKind::Records)
            m_relays.didReceiveRecords(message);
    }

    auto handleProbe(const NodeId &from, const Message &message, bool isPeer) -> void
    {
        const auto contacts =
                isPeer ? std::vector<NodeId>() : m_discovery.contactsFor(message.self.domain);
        if (message.kind == MessageKind::Ping)
            m_detector.didReceivePing(from, message, contacts);
        else if (message.kind == MessageKind::PingRequest && isPeer)
            m_detector.didReceivePingRequest(from, message);
        else if (message.kind == MessageKind::Ack)
            m_detector.didReceiveAck(from, message);
        if (!isPeer && message.kind == MessageKind::Ack)
            m_discovery.addHints(message.contacts);
    }

    /// Forwards the records of draining or leaving members without delay: no calls should be sent there for another
    /// log N periods.
    auto sendUrgent() -> void
    {
        for (const auto &it : m_core.takeUrgent()) {
            if (m_remainingUrgent == 0 && it.node != m_core.self().node)
                continue;
            m_remainingUrgent = m_remainingUrgent == 0 ? 0 : m_remainingUrgent - 1;
            for (const auto &peer : m_core.randomPeers(m_core.settings().urgentFanOut)) {
                auto message = Message();
                message.kind = MessageKind::Gossip;
                message.updates.push_back(it);
                m_core.send(peer, std::move(message));
            }
            if (it.state == ServingState::Draining || it.state == ServingState::Left)
                m_relays.sendToOtherDomains(it);
        }
    }

    MembershipCore<Policy> m_core;
    FailureDetector<Policy> m_detector;
    DigestExchange<Policy> m_exchange;
    RelayExchange<Policy> m_relays;
    PeerDiscovery<Policy> m_discovery;
    TimePoint m_lastAdvance;
    std::uint64_t m_periods = 0;
    TimePoint m_nextPeriod; ///< The first value is a random offset within the first period.
    std::uint32_t m_remainingUrgent = 0;
    std::uint32_t m_leaveRepetitions =
            3; ///< Number of further leave notifications; they are repeated because nobody acknowledges them.
};

extern template class BasicMembershipState<StandardPolicy>;

/// The protocol as production nodes run it.
using MembershipState = BasicMembershipState<StandardPolicy>;

} // namespace stairspur::membership
