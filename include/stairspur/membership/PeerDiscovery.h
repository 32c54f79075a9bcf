#pragma once

#include <algorithm>
#include <set>
#include <vector>

#include <stairspur/membership/FailureDetector.h>
#include <stairspur/membership/MembershipCore.h>

namespace stairspur::membership {

/// Finds nodes without a live record. While this node has no peers, it probes seeds and hints with exponential
/// backoff and jitter. Later it periodically probes a dead member or a seed that never answered, so that a healed
/// partition is detected from both sides.
template <MembershipPolicy Policy>
class PeerDiscovery
{
public:
    PeerDiscovery(MembershipCore<Policy> &core, FailureDetector<Policy> &detector)
        : m_core(core)
        , m_detector(detector)
        , m_periodsToRepair(1 + randomBelow(core.random(), core.settings().repairPeriods))
    {
        addHints(core.settings().seeds);
    }

    /// Adds addresses that may be nodes of any domain. At most MaxHints are kept.
    auto addHints(const std::vector<NodeId> &nodes) -> void
    {
        for (const auto &it : nodes) {
            if (it != m_core.self().node && m_hints.size() < MaxHints)
                m_hints.insert(it);
        }
    }

    auto beginPeriod() -> void
    {
        if (m_core.table().peers().empty())
            join();
        else
            m_backoff = 1;
        if (--m_periodsToRepair > 0)
            return;
        m_periodsToRepair = m_core.settings().repairPeriods;
        probeLost();
    }

    /// Returns contacts in `domain` for an unknown node that has not found its own domain.
    auto contactsFor(const std::string &domain) -> std::vector<NodeId>
    {
        return m_core.table().relaysOf(domain);
    }

private:
    static constexpr auto MaxHints = std::size_t{32};

    auto join() -> void
    {
        static constexpr auto HintsPerAttempt = std::size_t{3};
        if (--m_periodsToJoin > 0)
            return;
        for (const auto &it : randomHints(HintsPerAttempt))
            m_detector.sendPing(it);
        // Half of the delay is random, so that a domain that starts as a whole does not probe its seeds
        // simultaneously.
        m_periodsToJoin = m_backoff / 2 + randomBelow(m_core.random(), m_backoff / 2 + 1) + 1;
        m_backoff = std::min<std::uint64_t>(m_backoff * 2, m_core.settings().maxJoinBackoffPeriods);
    }

    auto probeLost() -> void
    {
        if (!Policy::probesDead)
            return;
        auto candidates = hintsWithoutRecord();
        for (const auto &[node, entry] : m_core.table().entries()) {
            const auto isOwnDomain = entry.member.domain == m_core.self().domain;
            if (isOwnDomain && entry.member.liveness == Liveness::Dead)
                candidates.push_back(node);
        }
        if (!candidates.empty())
            m_detector.sendPing(candidates[randomBelow(m_core.random(), candidates.size())]);
    }

    auto hintsWithoutRecord() -> std::vector<NodeId>
    {
        auto hints = std::vector<NodeId>();
        for (const auto &it : m_hints) {
            const auto *member = m_core.table().find(it);
            if (member == nullptr)
                hints.push_back(it);
        }
        return hints;
    }

    auto randomHints(std::size_t n) -> std::vector<NodeId>
    {
        auto chosen = std::vector<NodeId>(m_hints.begin(), m_hints.end());
        std::shuffle(chosen.begin(), chosen.end(), m_core.random());
        chosen.resize(std::min(n, chosen.size()));
        return chosen;
    }

    MembershipCore<Policy> &m_core;
    FailureDetector<Policy> &m_detector;
    std::set<NodeId> m_hints;
    std::uint64_t m_periodsToRepair;
    std::uint64_t m_periodsToJoin = 1;
    std::uint64_t m_backoff = 1;
};

} // namespace stairspur::membership
