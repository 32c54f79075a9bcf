#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <stairspur/membership/MemberDigest.h>
#include <stairspur/membership/MembershipCore.h>

namespace stairspur::membership {

/// Repairs records that gossip lost. A node periodically sends a digest of one domain's records to a random peer, and
/// the two send each other the records of the buckets that differ (anti-entropy, Demers et al., PODC 1987). A domain
/// that differed is compared again in the next period, so that a joining node or a healed partition catches up
/// quickly.
template <MembershipPolicy Policy>
class DigestExchange
{
public:
    explicit DigestExchange(MembershipCore<Policy> &core)
        : m_core(core)
        , m_periodsToNext(1 + randomBelow(core.random(), core.settings().exchangePeriods))
        , m_allowance(maxAllowance())
    {}

    /// Schedules a comparison of `domain` for the next period, with `peer` or, if it is empty, with a random peer.
    auto scheduleExchange(const std::string &domain, const NodeId &peer = {}) -> void
    {
        const auto isSame = [&](const ScheduledExchange &it) { return it.domain == domain; };
        if (std::none_of(m_scheduled.begin(), m_scheduled.end(), isSame))
            m_scheduled.push_back({domain, peer});
    }

    auto beginPeriod() -> void
    {
        m_allowance = std::min(m_allowance + 1, maxAllowance());
        if (!Policy::exchangesDigests)
            return;
        scheduleNewDomains();
        const auto peers = m_core.randomPeers(1);
        if (peers.empty())
            return;
        if (!m_scheduled.empty()) {
            const auto next = m_scheduled.front();
            m_scheduled.erase(m_scheduled.begin());
            sendDigest(next.peer.empty() ? peers.front() : next.peer, next.domain, nullptr);
            return;
        }
        if (--m_periodsToNext > 0)
            return;
        m_periodsToNext = m_core.settings().exchangePeriods;
        sendDigest(peers.front(), pickDomain(), nullptr);
    }

    /// Requests from `to` the records of `domain` that differ from the own ones.
    auto sendDigest(const NodeId &to, const std::string &domain, const ServiceFilter *filter)
            -> void
    {
        auto message = Message();
        message.kind = MessageKind::Digest;
        message.sequence = ++m_sequence;
        message.digestDomain = domain;
        message.filter = filter == nullptr ? std::string() : filter->bytes();
        message.hashes = digestOf(m_core.table(), domain, filter, message.sequence);
        ++m_core.counters().exchanges;
        m_core.sendPlain(to, std::move(message));
    }

    /// Replies with the records of the buckets that differ, in random order and as many as the allowance permits.
    auto didReceiveDigest(const NodeId &from, const Message &digest) -> void
    {
        const auto filter = digest.filter.empty() ? ServiceFilter() : ServiceFilter(digest.filter);
        const auto *usedFilter = digest.filter.empty() ? nullptr : &filter;
        const auto own = digestOf(m_core.table(), digest.digestDomain, usedFilter, digest.sequence);
        const auto first = randomBelow(m_core.random(), DigestBuckets);
        auto differing = std::vector<std::size_t>();
        for (std::size_t index = 0; index < DigestBuckets; ++index) {
            const auto bucket = (first + index) % DigestBuckets;
            if (!isSameBucket(own, digest.hashes, bucket))
                differing.push_back(bucket);
        }
        auto answer = Message();
        answer.kind = MessageKind::Records;
        answer.sequence = digest.sequence;
        answer.digestDomain = digest.digestDomain;
        if (digest.self.domain != m_core.self().domain)
            answer.contacts = m_core.table().relaysOf(m_core.self().domain);
        sendBuckets(from, answer, differing, usedFilter);
    }

    /// Applies the records of `from`. Within a domain, the own records of the same buckets are sent back.
    auto didReceiveRecords(const NodeId &from, const Message &records) -> void
    {
        for (const auto &it : records.updates)
            m_core.apply(it);
        if (records.kind != MessageKind::Records || records.buckets.empty())
            return;
        ++m_core.counters().unequalExchanges;
        if (records.self.domain != m_core.self().domain)
            return;
        scheduleExchange(records.digestDomain);
        auto answer = Message();
        answer.kind = MessageKind::RecordsBack;
        answer.sequence = records.sequence;
        answer.digestDomain = records.digestDomain;
        auto buckets = std::vector<std::size_t>(records.buckets.begin(), records.buckets.end());
        sendBuckets(from, answer, buckets, nullptr);
    }

private:
    struct ScheduledExchange
    {
        std::string domain;
        NodeId peer;
    };

    [[nodiscard]] auto maxAllowance() const -> std::uint32_t
    {
        return 2 * m_core.settings().maxExchangeDatagrams;
    }

    /// Schedules a comparison for each domain that is new to this node.
    auto scheduleNewDomains() -> void
    {
        for (const auto &it : m_core.table().domains()) {
            if (std::find(m_recordedDomains.begin(), m_recordedDomains.end(), it)
                != m_recordedDomains.end())
                continue;
            m_recordedDomains.push_back(it);
            scheduleExchange(it);
        }
    }

    /// Returns the own domain in half of the calls and one of the recorded domains in the others.
    auto pickDomain() -> std::string
    {
        if (m_recordedDomains.empty() || randomBelow(m_core.random(), 2) == 0)
            return m_core.self().domain;
        return m_recordedDomains[randomBelow(m_core.random(), m_recordedDomains.size())];
    }

    /// Returns the records in scope, by bucket. Records of absent members are included, since the receiver may lack
    /// them.
    auto recordsByBucket(const std::string &domain, const ServiceFilter *filter) const
            -> std::vector<std::vector<const Member *>>
    {
        auto sorted = std::vector<std::vector<const Member *>>(DigestBuckets);
        for (const auto &[node, entry] : m_core.table().entries()) {
            if (isInScope(entry.member, domain, filter))
                sorted[bucketOf(node)].push_back(&entry.member);
        }
        return sorted;
    }

    /// Sends the records of `buckets`. A reply without buckets means that nothing differs.
    auto sendBuckets(const NodeId &to, const Message &answer,
                     const std::vector<std::size_t> &buckets, const ServiceFilter *filter) -> void
    {
        if (buckets.empty()) {
            m_core.sendPlain(to, answer);
            return;
        }
        const auto sorted = recordsByBucket(answer.digestDomain, filter);
        auto sent = std::uint32_t{0};
        auto next = std::size_t{0};
        while (next < buckets.size() && sent < m_core.settings().maxExchangeDatagrams
               && m_allowance > 0) {
            auto datagram = answer;
            next = fill(datagram, sorted, buckets, next);
            m_core.sendPlain(to, std::move(datagram));
            --m_allowance;
            ++sent;
        }
    }

    /// Puts whole buckets into one datagram, from `next` on. Returns the index of the first bucket that is not in it.
    /// A bucket that is too large for a datagram is truncated.
    auto fill(Message &datagram, const std::vector<std::vector<const Member *>> &sorted,
              const std::vector<std::size_t> &buckets, std::size_t next) -> std::size_t
    {
        static constexpr auto FixedBytes =
                std::size_t{250}; // For the sender's record, contacts and bucket numbers.
        auto budget = RecordBudget(m_core.settings().maxPayloadBytes - FixedBytes);
        const auto first = next;
        for (; next < buckets.size(); ++next) {
            auto attempt = budget;
            const auto &members = sorted[buckets[next]];
            const auto fits = [&](const Member *it) { return attempt.take(*it); };
            const auto isComplete = std::all_of(members.begin(), members.end(), fits);
            if (!isComplete && next > first)
                return next;
            for (const auto *it : members) {
                if (budget.take(*it))
                    datagram.updates.push_back(*it);
            }
            datagram.buckets.push_back(static_cast<char>(buckets[next]));
            datagram.isComplete = isComplete;
            if (!isComplete)
                return next + 1;
        }
        return next;
    }

    MembershipCore<Policy> &m_core;
    std::uint64_t m_periodsToNext;
    /// Number of datagrams with records that this node may still send; increases by one in each period.
    std::uint32_t m_allowance;
    std::uint32_t m_sequence = 0;
    std::vector<ScheduledExchange> m_scheduled;
    std::vector<std::string> m_recordedDomains;
};

} // namespace stairspur::membership
