#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/core/Hash.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Member.h>
#include <stairspur/membership/MembershipEvent.h>
#include <stairspur/membership/MembershipPolicy.h>
#include <stairspur/membership/MembershipSettings.h>

namespace stairspur::membership {

/// Whether the node takes part in the protocol, as far as is known. One that leaves says itself that it is dead; one
/// whose backend server alone has left stays.
inline auto isPresent(const Member &member) -> bool
{
    return member.liveness != Liveness::Dead;
}

/// Every record that this node holds, and the rules by which a claim replaces a record (SWIM, section 4.2).
template <MembershipPolicy Policy>
class MemberTable
{
public:
    struct Entry
    {
        Member member;
        TimePoint changedAt;
    };
    using Entries = std::map<NodeId, Entry>;

    explicit MemberTable(const MembershipSettings &settings)
        : m_node(settings.node)
        , m_domain(settings.domain)
        , m_maxMembers(settings.maxMembers)
        , m_relayCount(settings.relays)
    {}

    [[nodiscard]] auto entries() const -> const Entries & { return m_entries; }

    [[nodiscard]] auto find(const NodeId &node) const -> const Member *
    {
        const auto it = m_entries.find(node);
        return it == m_entries.end() ? nullptr : &it->second.member;
    }

    /// Takes the claim in if it supersedes what is known. The event that this makes, or nothing for old news.
    auto merge(const Member &claim, TimePoint now) -> std::optional<MembershipEventKind>
    {
        const auto it = m_entries.find(claim.node);
        if (it == m_entries.end())
            return add(claim, now);
        auto &known = it->second.member;
        if (!supersedes(claim, known))
            return std::nullopt;
        const auto event = eventOf(known, claim);
        known = claim;
        it->second.changedAt = now;
        didChange();
        return event;
    }

    /// Replaces the own record, which needs no rule.
    auto setSelf(const Member &self, TimePoint now) -> void
    {
        m_entries.insert_or_assign(self.node, Entry{self, now});
        didChange();
    }

    auto erase(const NodeId &node) -> void
    {
        m_entries.erase(node);
        didChange();
    }

    /// Members of the own domain that take part, without this node.
    auto peers() -> const std::vector<NodeId> &
    {
        refresh();
        return m_peers;
    }

    /// The members of `domain` that speak for it: the first by rendezvous rank (Thaler and Ravishankar, 1998) of those
    /// that are alive. Every node of a domain with the same view names the same.
    auto relaysOf(const std::string &domain) -> const std::vector<NodeId> &
    {
        static const auto none = std::vector<NodeId>();
        refresh();
        const auto it = m_relays.find(domain);
        return it == m_relays.end() ? none : it->second;
    }

    /// All domains with members that take part.
    auto domains() -> std::vector<std::string>
    {
        refresh();
        auto names = std::vector<std::string>();
        for (const auto &[name, relays] : m_relays)
            names.push_back(name);
        return names;
    }

private:
    static auto supersedes(const Member &claim, const Member &known) -> bool
    {
        if constexpr (!Policy::comparesIncarnations)
            return !(claim == known);
        if (claim.incarnation != known.incarnation)
            return claim.incarnation > known.incarnation;
        return claim.liveness > known.liveness;
    }

    static auto eventOf(const Member &known, const Member &claim) -> MembershipEventKind
    {
        if (claim.liveness == Liveness::Dead)
            return claim.state == ServingState::Left ? MembershipEventKind::Left
                                                     : MembershipEventKind::Dead;
        if (claim.liveness == Liveness::Suspect)
            return MembershipEventKind::Suspect;
        if (claim.start > known.start)
            return MembershipEventKind::Restart;
        if (!isPresent(known))
            return MembershipEventKind::Join;
        if (claim.state == ServingState::Draining && known.state != ServingState::Draining)
            return MembershipEventKind::Draining;
        if (claim.state == ServingState::Left && known.state != ServingState::Left)
            return MembershipEventKind::Left;
        const auto isSame = claim.state == known.state && claim.service == known.service
                            && claim.slots == known.slots;
        return isSame ? MembershipEventKind::Alive : MembershipEventKind::State;
    }

    /// A dead or left member that was never known concerns nobody here.
    auto add(const Member &claim, TimePoint now) -> std::optional<MembershipEventKind>
    {
        if (!isPresent(claim) || m_entries.size() >= m_maxMembers)
            return std::nullopt;
        m_entries.emplace(claim.node, Entry{claim, now});
        didChange();
        return MembershipEventKind::Join;
    }

    auto didChange() -> void { m_isStale = true; }

    auto refresh() -> void
    {
        if (!std::exchange(m_isStale, false))
            return;
        m_peers.clear();
        m_relays.clear();
        auto ranked =
                std::map<std::string, std::vector<std::pair<std::uint64_t, const NodeId *>>>();
        for (const auto &[node, entry] : m_entries) {
            if (!isPresent(entry.member))
                continue;
            ranked[entry.member.domain].emplace_back(hash64(node), &node);
            if (entry.member.domain == m_domain && node != m_node)
                m_peers.push_back(node);
        }
        for (auto &[domain, ranks] : ranked)
            m_relays[domain] = firstByRank(ranks);
    }

    auto firstByRank(std::vector<std::pair<std::uint64_t, const NodeId *>> &ranks) const
            -> std::vector<NodeId>
    {
        const auto n = std::min<std::size_t>(m_relayCount, ranks.size());
        std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(n),
                          ranks.end());
        auto relays = std::vector<NodeId>();
        for (std::size_t index = 0; index < n; ++index)
            relays.push_back(*ranks[index].second);
        return relays;
    }

    NodeId m_node;
    std::string m_domain;
    std::size_t m_maxMembers;
    std::size_t m_relayCount;
    Entries m_entries;
    bool m_isStale = true;
    std::vector<NodeId> m_peers;
    std::map<std::string, std::vector<NodeId>> m_relays;
};

} // namespace stairspur::membership
