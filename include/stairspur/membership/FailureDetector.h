#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <stairspur/membership/MembershipCore.h>

namespace stairspur::membership {

/// Probes one member of the own domain in each protocol period: first directly, then through other members. A member
/// that answers neither probe is suspected, and declared dead if it does not refute the suspicion (SWIM, Das et al.,
/// DSN 2002). A node whose own probes fail waits longer before it suspects others (Lifeguard, Dadgar et al., DSN-W 2018).
template <MembershipPolicy Policy>
class FailureDetector
{
public:
    explicit FailureDetector(MembershipCore<Policy> &core)
        : m_core(core)
    {}

    /// Ends the previous probe when its time is over, and starts the next one.
    auto beginPeriod() -> void
    {
        if (m_probe && m_core.now() < m_probe->end)
            return;
        if (m_probe)
            handleFailedProbe();
        expireForwarded();
        probeOwnSuspects();
        takeDisputed();
        if (const auto target = nextTarget())
            probe(*target);
        probeDisputed();
    }

    /// Runs the work that is due between the starts of two periods.
    auto tick() -> void
    {
        if (m_probe && !m_probe->isIndirect && m_core.now() >= m_probe->directEnd)
            probeIndirectly();
        for (const auto &it : m_core.timers().takeExpired(m_core.now()))
            declareDead(it);
    }

    /// Records that this process did not run for `gap`. Answers that arrived in time may have been missed, so the
    /// current probe is dropped and suspicions are extended.
    auto didPause(Duration gap) -> void
    {
        m_probe.reset();
        m_core.timers().extend(gap);
    }

    /// Answers a probe. `contacts` are added to the answer to an unknown node that looks for nodes of its own domain.
    auto didReceivePing(const NodeId &from, const Message &message, std::vector<NodeId> contacts)
            -> void
    {
        auto ack = Message();
        ack.kind = MessageKind::Ack;
        ack.sequence = message.sequence;
        ack.contacts = std::move(contacts);
        m_core.send(from, std::move(ack));
    }

    /// Forwards a probe; its answer is sent back to the requester.
    auto didReceivePingRequest(const NodeId &from, const Message &message) -> void
    {
        static constexpr auto MaxForwarded = std::size_t{64};
        if (m_forwarded.size() >= MaxForwarded)
            return;
        const auto sequence = ++m_sequence;
        const auto expiry = m_core.now() + m_core.settings().period;
        m_forwarded[sequence] = {from, message.target, message.sequence, expiry};
        sendPing(message.target, sequence);
    }

    auto didReceiveAck(const NodeId &from, const Message &message) -> void
    {
        if (const auto it = m_forwarded.find(message.sequence); it != m_forwarded.end()) {
            if (it->second.target == from)
                forwardAck(it->second);
            m_forwarded.erase(it);
            return;
        }
        const auto &subject = message.target.empty() ? from : message.target;
        if (!m_probe || m_probe->target != subject)
            return;
        if (Policy::matchesSequences && message.sequence != m_probe->sequence)
            return;
        m_probe.reset();
        m_penalty = m_penalty == 0 ? 0 : m_penalty - 1;
    }

    /// Sends a probe whose missing answer has no consequence.
    auto sendPing(const NodeId &to) -> void { sendPing(to, 0); }

    [[nodiscard]] auto penalty() const -> std::uint32_t { return m_penalty; }

private:
    struct Probe
    {
        NodeId target;
        std::uint32_t sequence = 0;
        TimePoint directEnd;
        TimePoint end;
        bool isIndirect = false;
    };

    struct ForwardedProbe
    {
        NodeId requester;
        NodeId target;
        std::uint32_t requesterSequence = 0;
        TimePoint expiry;
    };

    /// Returns the next member to probe. Members are probed in random order, each once in a round, so that a failure
    /// is detected within one round (SWIM, section 4.3).
    auto nextTarget() -> std::optional<NodeId>
    {
        if (!m_disputed.empty())
            return m_disputed.begin()->first;
        while (!m_round.empty()) {
            const auto target = m_round.back();
            m_round.pop_back();
            const auto *member = m_core.table().find(target);
            if (member != nullptr && isPresent(*member))
                return target;
        }
        m_round = m_core.table().peers();
        if (m_round.empty())
            return std::nullopt;
        std::shuffle(m_round.begin(), m_round.end(), m_core.random());
        const auto target = m_round.back();
        m_round.pop_back();
        return target;
    }

    auto probe(const NodeId &target) -> void
    {
        const auto &settings = m_core.settings();
        const auto scale = 1 + m_penalty;
        // The probe ends slightly before the next period starts, so that its result is processed then.
        const auto slack = settings.period / 10;
        m_probe = Probe{target, ++m_sequence, m_core.now() + settings.probeTimeout * scale,
                        m_core.now() + settings.period * scale - slack, false};
        ++m_core.counters().probes;
        sendPing(target, m_probe->sequence);
    }

    /// Schedules probes of the members that other nodes declared dead and this node did not; they are probed first.
    auto takeDisputed() -> void
    {
        static constexpr auto MaxDisputed = std::size_t{64};
        for (auto &it : m_core.takeDisputed()) {
            if (m_disputed.size() < MaxDisputed)
                m_disputed.insert_or_assign(it.node, it);
        }
    }

    /// Sends the death claim to a few more disputed members. A missing answer has no consequence.
    auto probeDisputed() -> void
    {
        static constexpr auto MaxProbes = 3;
        for (auto count = 0; count < MaxProbes && !m_disputed.empty(); ++count) {
            // The id is copied because sendPing() removes the entry.
            const auto node = m_disputed.begin()->first;
            sendPing(node, 0);
        }
    }

    auto sendPing(const NodeId &to, std::uint32_t sequence) -> void
    {
        auto ping = Message();
        if (const auto disputed = m_disputed.extract(to))
            ping.updates.push_back(disputed.mapped());
        ping.kind = MessageKind::Ping;
        ping.sequence = sequence;
        m_core.send(to, std::move(ping));
    }

    auto probeIndirectly() -> void
    {
        m_probe->isIndirect = true;
        if (!Policy::probesIndirectly)
            return;
        for (const auto &it :
             m_core.randomPeers(m_core.settings().indirectProbes, m_probe->target)) {
            auto request = Message();
            request.kind = MessageKind::PingRequest;
            request.sequence = m_probe->sequence;
            request.target = m_probe->target;
            ++m_core.counters().indirectProbes;
            m_core.send(it, std::move(request));
        }
    }

    auto forwardAck(const ForwardedProbe &forwarded) -> void
    {
        auto ack = Message();
        ack.kind = MessageKind::Ack;
        ack.sequence = forwarded.requesterSequence;
        ack.target = forwarded.target;
        m_core.send(forwarded.requester, std::move(ack));
    }

    auto handleFailedProbe() -> void
    {
        const auto target = m_probe->target;
        m_probe.reset();
        ++m_core.counters().failedProbes;
        m_penalty = std::min(m_penalty + 1, m_core.settings().maxHealthPenalty);
        const auto *member = m_core.table().find(target);
        if (member == nullptr || member->liveness != Liveness::Alive || !isPresent(*member))
            return;
        if (!Policy::suspectsBeforeDeath) {
            declareDead(target);
            return;
        }
        auto claim = *member;
        claim.liveness = Liveness::Suspect;
        ++m_core.counters().suspicions;
        m_ownSuspects.push_back(target);
        m_core.applyLocal(std::move(claim));
    }

    auto declareDead(const NodeId &node) -> void
    {
        const auto *member = m_core.table().find(node);
        if (member == nullptr || !isPresent(*member))
            return;
        auto claim = *member;
        claim.liveness = Liveness::Dead;
        ++m_core.counters().deaths;
        m_core.applyLocal(std::move(claim));
    }

    /// Sends probes to the members that this node suspected, until they refute or are dead, since the first message
    /// may have been lost.
    auto probeOwnSuspects() -> void
    {
        std::erase_if(m_ownSuspects, [&](const NodeId &it) {
            const auto *member = m_core.table().find(it);
            return member == nullptr || member->liveness != Liveness::Suspect;
        });
        for (const auto &it : m_ownSuspects)
            sendPing(it);
    }

    auto expireForwarded() -> void
    {
        std::erase_if(m_forwarded,
                      [&](const auto &it) { return it.second.expiry <= m_core.now(); });
    }

    MembershipCore<Policy> &m_core;
    std::vector<NodeId> m_round;
    std::optional<Probe> m_probe;
    std::map<std::uint32_t, ForwardedProbe> m_forwarded;
    std::vector<NodeId> m_ownSuspects;
    /// Claims of other nodes that a member is dead, which this node has not confirmed.
    std::map<NodeId, Member> m_disputed;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_penalty = 0;
};

} // namespace stairspur::membership
