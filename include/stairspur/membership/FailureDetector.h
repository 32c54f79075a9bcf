#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <stairspur/membership/MembershipCore.h>

namespace stairspur::membership {

/// Probes one member of the own domain in each protocol period: directly, then through others; then suspects it, and
/// declares it dead when it does not refute (SWIM, Das et al., DSN 2002). A node whose own probes fail waits longer
/// before it blames others (Lifeguard, Dadgar et al., DSN-W 2018).
template <MembershipPolicy Policy>
class FailureDetector
{
public:
    explicit FailureDetector(MembershipCore<Policy> &core)
        : m_core(core)
    {}

    /// Ends the last probe when its time is up, and begins the next.
    auto beginPeriod() -> void
    {
        if (m_probe && m_core.now() < m_probe->end)
            return;
        if (m_probe)
            concludeFailed();
        expireRelayed();
        remindAccused();
        takeDoubted();
        if (const auto target = nextTarget())
            probe(*target);
        tellDoubted();
    }

    /// What is due between the beginnings of periods.
    auto tick() -> void
    {
        if (m_probe && !m_probe->isIndirect && m_core.now() >= m_probe->directEnd)
            probeIndirectly();
        for (const auto &it : m_core.timers().takeExpired(m_core.now()))
            declareDead(it);
    }

    /// This process did not run for `gap`: answers may have been missed that had come in time.
    auto didPause(Duration gap) -> void
    {
        m_probe.reset();
        m_core.timers().extend(gap);
    }

    /// `contacts` go with the answer to a stranger that looks for nodes of its own domain.
    auto didReceivePing(const NodeId &from, const Message &message, std::vector<NodeId> contacts)
            -> void
    {
        auto ack = Message();
        ack.kind = MessageKind::Ack;
        ack.sequence = message.sequence;
        ack.contacts = std::move(contacts);
        m_core.send(from, std::move(ack));
    }

    /// Passes a probe on; its answer goes back to the asker.
    auto didReceivePingRequest(const NodeId &from, const Message &message) -> void
    {
        static constexpr auto MaxRelayed = std::size_t{64};
        if (m_relayed.size() >= MaxRelayed)
            return;
        const auto sequence = ++m_sequence;
        const auto expiry = m_core.now() + m_core.settings().period;
        m_relayed[sequence] = {from, message.target, message.sequence, expiry};
        sendPing(message.target, sequence);
    }

    auto didReceiveAck(const NodeId &from, const Message &message) -> void
    {
        if (const auto it = m_relayed.find(message.sequence); it != m_relayed.end()) {
            if (it->second.target == from)
                passAckOn(it->second);
            m_relayed.erase(it);
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

    /// A message that asks `to` to show that it lives, without a verdict if it does not.
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

    struct Relayed
    {
        NodeId asker;
        NodeId target;
        std::uint32_t askerSequence = 0;
        TimePoint expiry;
    };

    /// Goes through the members in random order, each once a round, so that no failure stays unseen for longer than a
    /// round (SWIM, section 4.3).
    auto nextTarget() -> std::optional<NodeId>
    {
        if (!m_doubted.empty())
            return m_doubted.begin()->first;
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
        // Ends a little early, so that the period that begins then sees the verdict.
        const auto slack = settings.period / 10;
        m_probe = Probe{target, ++m_sequence, m_core.now() + settings.probeTimeout * scale,
                        m_core.now() + settings.period * scale - slack, false};
        ++m_core.counters().probes;
        sendPing(target, m_probe->sequence);
    }

    /// Members that others gave up and this node did not are probed first.
    auto takeDoubted() -> void
    {
        static constexpr auto MaxDoubted = std::size_t{64};
        for (auto &it : m_core.takeDoubted()) {
            if (m_doubted.size() < MaxDoubted)
                m_doubted.insert_or_assign(it.node, it);
        }
    }

    /// More of them hear of it without a verdict of this node.
    auto tellDoubted() -> void
    {
        static constexpr auto ToldAtOnce = 3;
        for (auto count = 0; count < ToldAtOnce && !m_doubted.empty(); ++count) {
            const auto node = m_doubted.begin()->first; // The entry goes with the ping.
            sendPing(node, 0);
        }
    }

    auto sendPing(const NodeId &to, std::uint32_t sequence) -> void
    {
        auto ping = Message();
        if (const auto doubted = m_doubted.extract(to))
            ping.updates.push_back(doubted.mapped());
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

    auto passAckOn(const Relayed &relayed) -> void
    {
        auto ack = Message();
        ack.kind = MessageKind::Ack;
        ack.sequence = relayed.askerSequence;
        ack.target = relayed.target;
        m_core.send(relayed.asker, std::move(ack));
    }

    auto concludeFailed() -> void
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
        m_accused.push_back(target);
        m_core.applyOwn(std::move(claim));
    }

    auto declareDead(const NodeId &node) -> void
    {
        const auto *member = m_core.table().find(node);
        if (member == nullptr || !isPresent(*member))
            return;
        auto claim = *member;
        claim.liveness = Liveness::Dead;
        ++m_core.counters().deaths;
        m_core.applyOwn(std::move(claim));
    }

    /// Tells those whom this node suspected, until they refute or are dead: the first message may have been lost.
    auto remindAccused() -> void
    {
        std::erase_if(m_accused, [&](const NodeId &it) {
            const auto *member = m_core.table().find(it);
            return member == nullptr || member->liveness != Liveness::Suspect;
        });
        for (const auto &it : m_accused)
            sendPing(it);
    }

    auto expireRelayed() -> void
    {
        std::erase_if(m_relayed, [&](const auto &it) { return it.second.expiry <= m_core.now(); });
    }

    MembershipCore<Policy> &m_core;
    std::vector<NodeId> m_round;
    std::optional<Probe> m_probe;
    std::map<std::uint32_t, Relayed> m_relayed;
    std::vector<NodeId> m_accused;
    std::map<NodeId, Member> m_doubted; ///< The claims that this node does not believe.
    std::uint32_t m_sequence = 0;
    std::uint32_t m_penalty = 0;
};

} // namespace stairspur::membership
