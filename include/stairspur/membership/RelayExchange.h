#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <stairspur/membership/DigestExchange.h>
#include <stairspur/membership/MembershipCore.h>

namespace stairspur::membership {

/// Contact with other failure domains. The relays of the own domain, its first members by rendezvous rank, fetch the
/// records of services of interest from the relays of each other domain; gossip spreads the records. While no relay
/// reaches a domain, its members are kept and shown as suspect, since a partition does not mean that the other side
/// is dead.
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
        // Records that the new filter lets pass are fetched in the next period.
        for (auto &[name, contact] : m_contacts)
            contact.periodsToNext = 1;
    }

    auto beginPeriod() -> void
    {
        addNewDomains();
        const auto &relays = m_core.table().relaysOf(m_core.self().domain);
        const auto isRelay =
                std::find(relays.begin(), relays.end(), m_core.self().node) != relays.end();
        m_core.statements().keepOnly(relays);
        for (auto &[domain, contact] : m_contacts) {
            if (isRelay)
                updateContact(domain, contact);
            else
                contact.periodsAsRelay = 0;
            updateReachability(domain, contact, relays);
        }
        if (!Policy::keepsUnreachableDomains)
            declareUnreachableDead();
    }

    /// Records that a message of a node of another domain was received.
    auto didReceive(const NodeId &from, const Message &message) -> void
    {
        auto &contact = m_contacts[message.self.domain];
        contact.lastSeen = m_core.now();
        contact.unansweredDigests = 0;
        addNode(contact, from);
        // Contacts in an answer to a probe are nodes of the own domain, not of the sender's.
        if (message.kind == MessageKind::Records) {
            for (const auto &it : message.contacts)
                addNode(contact, it);
        }
        if (message.kind == MessageKind::Digest && !message.filter.empty())
            contact.peerFilter = message.filter;
    }

    /// Processes the reply of another domain's node to a digest. A member that is missing from a complete bucket is
    /// dead there.
    auto didReceiveRecords(const Message &records) -> void
    {
        const auto &domain = records.self.domain;
        if (records.digestDomain != domain)
            return;
        if (!records.buckets.empty())
            m_contacts[domain].periodsToNext = 1;
        if (records.isComplete)
            declareMissingDead(records);
    }

    /// Notifies the other domains that call this member's service that it drains or leaves.
    auto sendToOtherDomains(const Member &member) -> void
    {
        const auto &relays = m_core.table().relaysOf(m_core.self().domain);
        if (std::find(relays.begin(), relays.end(), m_core.self().node) == relays.end())
            return;
        for (auto &[domain, contact] : m_contacts) {
            if (contact.peerFilter.empty()
                || !ServiceFilter(contact.peerFilter).mayContain(member.service))
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
            contact.lastSeen += gap;
    }

    [[nodiscard]] auto isReachable(const std::string &domain) const -> bool
    {
        const auto it = m_contacts.find(domain);
        return it == m_contacts.end() || it->second.isReachable;
    }

private:
    struct Contact
    {
        TimePoint lastSeen;
        std::uint32_t periodsToNext = 1;
        std::uint32_t periodsAsRelay = 0;
        std::uint32_t unansweredDigests = 0; ///< Digests sent since the last received message.
        bool isReachable = true;             ///< According to the statements of the relays.
        std::vector<NodeId> nodes;           ///< Most recently seen first.
        std::string peerFilter;
    };

    static auto addNode(Contact &contact, const NodeId &node) -> void
    {
        static constexpr auto MaxNodes = std::size_t{8};
        std::erase(contact.nodes, node);
        contact.nodes.insert(contact.nodes.begin(), node);
        if (contact.nodes.size() > MaxNodes)
            contact.nodes.pop_back();
    }

    auto addNewDomains() -> void
    {
        for (const auto &it : m_core.table().domains()) {
            if (it != m_core.self().domain && !m_contacts.contains(it))
                m_contacts[it].lastSeen = m_core.now();
        }
    }

    /// Sends a digest when it is due, and states when contact was lost for too long or has been restored.
    auto updateContact(const std::string &domain, Contact &contact) -> void
    {
        const auto &settings = m_core.settings();
        ++contact.periodsAsRelay;
        if (--contact.periodsToNext == 0) {
            // The random interval keeps the relays of a domain from sending at the same time.
            contact.periodsToNext = settings.relayPeriods / 2
                                    + static_cast<std::uint32_t>(
                                            randomBelow(m_core.random(), settings.relayPeriods))
                                    + 1;
            ++contact.unansweredDigests;
            ++m_core.counters().relayExchanges;
            m_exchange.sendDigest(pickContact(domain, contact), domain, &m_core.filter());
        }
        const auto silence = m_core.now() - contact.lastSeen;
        const auto isLost = silence > settings.period * settings.contactLostPeriods
                            && contact.periodsAsRelay > settings.contactLostPeriods;
        publishStatement(domain, !isLost);
    }

    auto publishStatement(const std::string &domain, bool isReachable) -> void
    {
        const auto *last = m_core.statements().find(domain, m_core.self().node);
        const auto wasReachable = last == nullptr || last->isReachable;
        if (wasReachable == isReachable)
            return;
        const auto version =
                last == nullptr ? m_core.self().startIncarnation + 1 : last->version + 1;
        m_core.statements().merge({m_core.self().node, domain, version, isReachable});
    }

    auto updateReachability(const std::string &domain, Contact &contact,
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

    /// Returns the contact that was last seen, as long as it answers; otherwise a random recorded node of `domain`.
    auto pickContact(const std::string &domain, const Contact &contact) -> NodeId
    {
        if (!contact.nodes.empty() && contact.unansweredDigests <= 1)
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
            // Reservoir sampling gives each member the same chance. Dead members are included, since they may be
            // back.
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
            // A late reply may be older than the record.
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
            m_core.applyLocal(std::move(it));
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
            m_core.applyLocal(std::move(it));
        }
    }

    MembershipCore<Policy> &m_core;
    DigestExchange<Policy> &m_exchange;
    std::map<std::string, Contact> m_contacts;
};

} // namespace stairspur::membership
