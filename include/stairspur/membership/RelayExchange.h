#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <stairspur/membership/DigestExchange.h>
#include <stairspur/membership/MembershipCore.h>

namespace stairspur::membership {

/// Contact with other failure domains. The own domain's relays, the first by rendezvous rank, fetch records of services
/// of interest from the relays of each other domain; gossip spreads them. When no relay reaches a domain, its members
/// are kept and shown as suspect until one does again: a partition is not the death of the other side.
template <MembershipPolicy Policy>
class RelayExchange
{
public:
    RelayExchange(MembershipCore<Policy> &core, DigestExchange<Policy> &exchange)
        : m_core(core)
        , m_exchange(exchange)
    {}

    auto setServicesOfInterest(const std::set<std::string> &services) -> void
    {
        m_core.setFilter(ServiceFilter(services));
        // What is new to the filter should not wait for the next turn.
        for (auto &[name, contact] : m_contacts)
            contact.periodsToNext = 1;
    }

    auto beginPeriod() -> void
    {
        noteDomains();
        const auto &relays = m_core.table().relaysOf(m_core.self().domain);
        const auto isRelay =
                std::find(relays.begin(), relays.end(), m_core.self().node) != relays.end();
        m_core.statements().keepOnly(relays);
        for (auto &[domain, contact] : m_contacts) {
            if (isRelay)
                keepContact(domain, contact);
            else
                contact.periodsAsRelay = 0;
            noteReachability(domain, contact, relays);
        }
        if (!Policy::keepsUnreachableDomains)
            declareUnreachableDead();
    }

    /// A message of a node of another domain came in.
    auto didHear(const NodeId &from, const Message &message) -> void
    {
        auto &contact = m_contacts[message.self.domain];
        contact.lastHeard = m_core.now();
        contact.unanswered = 0;
        remember(contact, from);
        // Contacts in an answer to a probe are nodes of this domain, not of the sender's.
        if (message.kind == MessageKind::Records) {
            for (const auto &it : message.contacts)
                remember(contact, it);
        }
        if (message.kind == MessageKind::Digest && !message.filter.empty())
            contact.theirFilter = message.filter;
    }

    /// An answer of another domain's node to a digest: what it left out of a whole bucket is gone there.
    auto didReceiveRecords(const Message &records) -> void
    {
        const auto &domain = records.self.domain;
        if (records.digestDomain != domain)
            return;
        if (!records.buckets.empty())
            m_contacts[domain].periodsToNext = 1;
        if (records.isWhole)
            declareMissingDead(records);
    }

    /// Tells the other domains that call this member's service that it drains or leaves.
    auto tellOthers(const Member &member) -> void
    {
        const auto &relays = m_core.table().relaysOf(m_core.self().domain);
        if (std::find(relays.begin(), relays.end(), m_core.self().node) == relays.end())
            return;
        for (auto &[domain, contact] : m_contacts) {
            if (contact.theirFilter.empty()
                || !ServiceFilter(contact.theirFilter).mayContain(member.service))
                continue;
            auto message = Message();
            message.kind = MessageKind::Gossip;
            message.updates.push_back(member);
            m_core.sendPlain(pickContact(domain, contact), std::move(message));
        }
    }

    auto didPause(Duration gap) -> void
    {
        for (auto &[name, contact] : m_contacts)
            contact.lastHeard += gap;
    }

    [[nodiscard]] auto isReachable(const std::string &domain) const -> bool
    {
        const auto it = m_contacts.find(domain);
        return it == m_contacts.end() || it->second.isReachable;
    }

private:
    struct Contact
    {
        TimePoint lastHeard;
        std::uint32_t periodsToNext = 1;
        std::uint32_t periodsAsRelay = 0;
        std::uint32_t unanswered = 0; ///< Digests since the last message.
        bool isReachable = true;      ///< As the relays' statements say.
        std::vector<NodeId> nodes;    ///< The last heard first.
        std::string theirFilter;
    };

    static auto remember(Contact &contact, const NodeId &node) -> void
    {
        static constexpr auto MaxNodes = std::size_t{8};
        std::erase(contact.nodes, node);
        contact.nodes.insert(contact.nodes.begin(), node);
        if (contact.nodes.size() > MaxNodes)
            contact.nodes.pop_back();
    }

    auto noteDomains() -> void
    {
        for (const auto &it : m_core.table().domains()) {
            if (it != m_core.self().domain && !m_contacts.contains(it))
                m_contacts[it].lastHeard = m_core.now();
        }
    }

    /// Exchanges when it is this domain's turn, and says so when its silence has lasted too long or has ended.
    auto keepContact(const std::string &domain, Contact &contact) -> void
    {
        const auto &settings = m_core.settings();
        ++contact.periodsAsRelay;
        if (--contact.periodsToNext == 0) {
            // A random first digit keeps the relays of a domain from asking at the same time.
            contact.periodsToNext = settings.relayPeriods / 2
                                    + static_cast<std::uint32_t>(
                                            randomBelow(m_core.random(), settings.relayPeriods))
                                    + 1;
            ++contact.unanswered;
            ++m_core.counters().relayExchanges;
            m_exchange.sendDigest(pickContact(domain, contact), domain, &m_core.filter());
        }
        const auto silence = m_core.now() - contact.lastHeard;
        const auto isLost = silence > settings.period * settings.contactLostPeriods
                            && contact.periodsAsRelay > settings.contactLostPeriods;
        state(domain, !isLost);
    }

    auto state(const std::string &domain, bool isReachable) -> void
    {
        const auto *last = m_core.statements().find(domain, m_core.self().node);
        const auto wasReachable = last == nullptr || last->isReachable;
        if (wasReachable == isReachable)
            return;
        const auto version = last == nullptr ? m_core.self().start + 1 : last->version + 1;
        m_core.statements().merge({m_core.self().node, domain, version, isReachable});
    }

    auto noteReachability(const std::string &domain, Contact &contact,
                          const std::vector<NodeId> &relays) -> void
    {
        const auto isReachable = m_core.statements().isReachable(domain, relays);
        if (contact.isReachable == isReachable)
            return;
        contact.isReachable = isReachable;
        m_core.emit(isReachable ? MembershipEventKind::ContactFound
                                : MembershipEventKind::ContactLost,
                    {}, domain);
    }

    /// The contact that was heard last, as long as it answers; else any other that is known.
    auto pickContact(const std::string &domain, const Contact &contact) -> NodeId
    {
        if (!contact.nodes.empty() && contact.unanswered <= 1)
            return contact.nodes.front();
        auto candidates = contact.nodes;
        const auto &relays = m_core.table().relaysOf(domain);
        candidates.insert(candidates.end(), relays.begin(), relays.end());
        if (const auto any = randomMemberOf(domain); !any.empty())
            candidates.push_back(any);
        return candidates.empty() ? m_core.self().node
                                  : candidates[randomBelow(m_core.random(), candidates.size())];
    }

    auto randomMemberOf(const std::string &domain) -> NodeId
    {
        auto seen = std::uint64_t{0};
        auto chosen = NodeId();
        for (const auto &[node, entry] : m_core.table().entries()) {
            if (entry.member.domain != domain)
                continue;
            // Reservoir sampling: each has the same chance, the dead ones too, which may be back.
            if (randomBelow(m_core.random(), ++seen) == 0)
                chosen = node;
        }
        return chosen;
    }

    auto declareMissingDead(const Message &records) -> void
    {
        const auto minimumAge = m_core.settings().period * m_core.settings().contactLostPeriods;
        auto missing = std::vector<Member>();
        for (const auto &[node, entry] : m_core.table().entries()) {
            if (!isPresent(entry.member)
                || !isInScope(entry.member, records.self.domain, &m_core.filter()))
                continue;
            // A late answer may be older than the record.
            if (m_core.now() - entry.changedAt < minimumAge)
                continue;
            const auto bucket = static_cast<char>(bucketOf(node));
            if (records.buckets.find(bucket) == std::string::npos || node == records.self.node)
                continue;
            const auto isListed = std::any_of(records.updates.begin(), records.updates.end(),
                                              [&](const Member &it) { return it.node == node; });
            if (!isListed)
                missing.push_back(entry.member);
        }
        for (auto &it : missing) {
            it.liveness = Liveness::Dead;
            m_core.applyOwn(std::move(it));
        }
    }

    auto declareUnreachableDead() -> void
    {
        auto unreachable = std::vector<Member>();
        for (const auto &[node, entry] : m_core.table().entries()) {
            if (isPresent(entry.member) && !isReachable(entry.member.domain))
                unreachable.push_back(entry.member);
        }
        for (auto &it : unreachable) {
            it.liveness = Liveness::Dead;
            m_core.applyOwn(std::move(it));
        }
    }

    MembershipCore<Policy> &m_core;
    DigestExchange<Policy> &m_exchange;
    std::map<std::string, Contact> m_contacts;
};

} // namespace stairspur::membership
