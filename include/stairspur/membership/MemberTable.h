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

/// Returns whether the node takes part in the protocol according to its record. A node that leaves publishes itself
/// as dead; a node of which only the backend server has left is still present.
inline auto isPresent(const Member &member) -> bool
{
    return member.liveness != Liveness::Dead;
}

/// The records of all members, and the rules by which a claim replaces a record (SWIM, section 4.2).
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
        , m_relayCount(settings.relaysPerDomain)
    {}

    [[nodiscard]] auto entries() const -> const Entries & { return m_entries; }

    [[nodiscard]] auto find(const NodeId &node) const -> const Member *
    {
        const auto it = m_entries.find(node);
        return it == m_entries.end() ? nullptr : &it->second.member;
    }

    /// Applies `claim` if it supersedes the current record. Returns the resulting event, or nothing if it does not
    /// supersede.
    auto merge(const Member &claim, TimePoint now) -> std::optional<MembershipEventKind>
    {
        const auto it = m_entries.find(claim.node);
        if (it == m_entries.end())
            return add(claim, now);
        auto &current = it->second.member;
        if (!supersedes(claim, current))
            return std::nullopt;
        const auto event = eventOf(current, claim);
        current = claim;
        it->second.changedAt = now;
        didChange();
        return event;
    }

    /// Replaces the own record without comparing incarnations.
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

    /// Returns the present members of the own domain, without this node.
    auto peers() -> const std::vector<NodeId> &
    {
        refresh();
        return m_peers;
    }

    /// Returns the relays of `domain`: its first present members by rendezvous rank (Thaler and Ravishankar, 1998).
    /// Nodes with the same view compute the same relays.
    auto relaysOf(const std::string &domain) -> const std::vector<NodeId> &
    {
        static const auto none = std::vector<NodeId>();
        refresh();
        const auto it = m_relays.find(domain);
        return it == m_relays.end() ? none : it->second;
    }

    /// Returns all domains with present members.
    auto domains() -> std::vector<std::string>
    {
        refresh();
        auto names = std::vector<std::string>();
        for (const auto &[name, relays] : m_relays)
            names.push_back(name);
        return names;
    }

private:
    static auto supersedes(const Member &claim, const Member &current) -> bool
    {
        if constexpr (!Policy::comparesIncarnations)
            return !(claim == current);
        if (claim.incarnation != current.incarnation)
            return claim.incarnation > current.incarnation;
        return claim.liveness > current.liveness;
    }

    static auto eventOf(const Member &current, const Member &claim) -> MembershipEventKind
    {
        if (claim.liveness == Liveness::Dead)
            return claim.state == ServingState::Left ? MembershipEventKind::Left
                                                     : MembershipEventKind::Dead;
        if (claim.liveness == Liveness::Suspect)
            return MembershipEventKind::Suspect;
        if (claim.startIncarnation > current.startIncarnation)
            return MembershipEventKind::Restart;
        if (!isPresent(current))
            return MembershipEventKind::Join;
        if (claim.state == ServingState::Draining && current.state != ServingState::Draining)
            return MembershipEventKind::Draining;
        if (claim.state == ServingState::Left && current.state != ServingState::Left)
            return MembershipEventKind::Left;
        const auto isSame = claim.state == current.state && claim.service == current.service
                            && claim.slots == current.slots;
        return isSame ? MembershipEventKind::Alive : MembershipEventKind::State;
    }

    /// Adds a record for an unknown member. Absent members are not added, since no record of theirs has to be
    /// replaced.
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
