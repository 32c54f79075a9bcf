#include <stairspur/membership/LeavingReplication.h>

#include <algorithm>
#include <ranges>

#include <stairspur/core/Hash.h>

namespace stairspur::membership {

/// Replicas in the own failure domain, which fail together with the host in a rack at most.
static constexpr auto DomainReplicas = std::size_t{3};
/// Other failure domains with a replica each. They keep the records if the own domain fails as a whole.
static constexpr auto OtherDomains = std::size_t{2};

/// Requests to a replica without an answer before it is given up. A host that was suspended has sent fewer in the time.
static constexpr auto MinRequests = 3U;
/// Requests to a replica that never answers while this host has nothing to record. It may run an older version.
static constexpr auto MaxFirstRequests = 8U;

/// Time after the start in which replicas are waited for. Without a peer, the backend server serves after it.
static constexpr auto MaxWait = Duration{1'000'000};
/// Time for which an answer is waited for after at least one other replica has answered.
static constexpr auto MaxAnswerTime = Duration{300'000};

static constexpr auto FirstRepeatInterval = Duration{100'000};
static constexpr auto MaxRepeatInterval = Duration{30'000'000};

/// Retention of the records of a host that is no member. A node that returns later has restarted with its host.
static constexpr auto Retention = std::chrono::minutes(10);
/// Bounds the memory for records to about two megabytes.
static constexpr auto MaxRecords = std::size_t{4096};

LeavingReplication::LeavingReplication(NodeId ownNode, std::string domain, TimePoint now)
    : m_ownNode(std::move(ownNode))
    , m_domain(std::move(domain))
    , m_startedAt(now)
    , m_view(std::make_shared<const MembershipView>())
{}

/// Returns the `count` members of `domain` with the least rank, without `node`.
static auto firstByRank(const MembershipView &view, const NodeId &node, const std::string &domain,
                        std::size_t count) -> std::vector<const Member *>
{
    auto ranked = std::vector<std::pair<std::uint64_t, const Member *>>();
    for (const auto &it : view.members) {
        if (it.domain == domain && it.node != node && it.liveness != Liveness::Dead)
            ranked.emplace_back(hash64(it.node), &it);
    }
    const auto n = std::min(count, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(n));
    auto first = std::vector<const Member *>();
    for (std::size_t index = 0; index < n; ++index)
        first.push_back(ranked[index].second);
    return first;
}

auto LeavingReplication::replicasOfOwnHost() const -> std::vector<const Member *>
{
    auto replicas = firstByRank(*m_view, m_ownNode, m_domain, DomainReplicas);
    auto domains = std::set<std::string>();
    const auto *last = &m_domain;
    for (const auto &it : m_view->members) {
        // Members are sorted by address, so that those of one domain mostly follow each other.
        if (it.domain == *last || it.domain == m_domain || it.liveness == Liveness::Dead)
            continue;
        domains.insert(it.domain);
        last = &it.domain;
    }
    for (const auto &it : domains | std::views::take(OtherDomains)) {
        const auto first = firstByRank(*m_view, m_ownNode, it, 1);
        replicas.insert(replicas.end(), first.begin(), first.end());
    }
    return replicas;
}

auto LeavingReplication::setView(std::shared_ptr<const MembershipView> view, TimePoint now) -> void
{
    m_view = std::move(view);
    auto former = std::exchange(m_replicas, {});
    for (const auto *it : replicasOfOwnHost()) {
        auto &replica = m_replicas[it->node];
        const auto found = former.find(it->node);
        const auto isSameProcess =
                found != former.end() && found->second.startIncarnation == it->startIncarnation;
        if (isSameProcess)
            replica = found->second;
        replica.startIncarnation = it->startIncarnation;
        if (!isSameProcess)
            ask(it->node, replica, now);
    }
    // Nodes that peers have named may be missing in the first views.
    if (!isComplete(now))
        m_replicas.merge(former);
    keepRecordsOfMembers(now);
}

auto LeavingReplication::find(const NodeId &node) const -> const Member *
{
    const auto it = std::ranges::lower_bound(m_view->members, node, {}, &Member::node);
    return it != m_view->members.end() && it->node == node ? &*it : nullptr;
}

auto LeavingReplication::keepRecordsOfMembers(TimePoint now) -> void
{
    for (auto &[node, record] : m_records) {
        if (find(node) != nullptr)
            record.lastSeenAt = now;
    }
    removeExpired(now);
}

auto LeavingReplication::setOwn(const LeavingInstances &own, TimePoint now) -> void
{
    m_own = own;
    for (auto &[node, replica] : m_replicas) {
        replica.repeatInterval = Duration::zero();
        if (isPending(replica))
            ask(node, replica, now);
    }
}

auto LeavingReplication::hasConfirmed(const Replica &replica) const -> bool
{
    const auto isConfirmed = [&](std::uint64_t id) { return replica.confirmed.contains(id); };
    return std::ranges::all_of(m_own.ids(), isConfirmed);
}

/// Returns whether the replica is to be asked again: it lacks an own id, or may have recorded some before a restart.
auto LeavingReplication::isPending(const Replica &replica) const -> bool
{
    return !hasConfirmed(replica) || (!replica.hasReplied && replica.requests < MaxFirstRequests);
}

auto LeavingReplication::ask(const NodeId &node, Replica &replica, TimePoint now) -> void
{
    if (replica.askedAt == TimePoint{})
        replica.firstAskedAt = now;
    replica.askedAt = now;
    ++replica.requests;
    replica.repeatInterval =
            std::clamp(replica.repeatInterval * 2, FirstRepeatInterval, MaxRepeatInterval);
    m_out.emplace_back(node, LeavingMessage{false, {m_own.ids().begin(), m_own.ids().end()}, {}});
}

auto LeavingReplication::tick(TimePoint now) -> void
{
    for (auto &[node, replica] : m_replicas) {
        if (isPending(replica) && now - replica.askedAt >= replica.repeatInterval)
            ask(node, replica, now);
    }
}

auto LeavingReplication::receive(const NodeId &from, const LeavingMessage &message, TimePoint now)
        -> std::vector<std::uint64_t>
{
    if (message.isReply)
        return didReply(from, message, now);
    reply(from, message, now);
    return {};
}

auto LeavingReplication::reply(const NodeId &to, const LeavingMessage &request, TimePoint now)
        -> void
{
    auto answer = LeavingMessage{true, {}, {}};
    if (!request.ids.empty() || m_records.contains(to)) {
        auto &record = m_records[to];
        record.lastSeenAt = now;
        for (const auto id : request.ids)
            record.ids.add(id);
        answer.ids.assign(record.ids.ids().begin(), record.ids.ids().end());
    }
    answer.replicas = domainReplicasOf(to);
    m_out.emplace_back(to, std::move(answer));
    removeExpired(now);
}

/// Returns the other replicas of a host of the own failure domain, and none of other hosts.
auto LeavingReplication::domainReplicasOf(const NodeId &node) const -> std::vector<NodeId>
{
    const auto *member = find(node);
    if (member != nullptr && member->domain != m_domain)
        return {};
    auto replicas = std::vector<NodeId>();
    for (const auto *it : firstByRank(*m_view, node, m_domain, DomainReplicas)) {
        if (it->node != m_ownNode)
            replicas.push_back(it->node);
    }
    return replicas;
}

auto LeavingReplication::didReply(const NodeId &from, const LeavingMessage &message, TimePoint now)
        -> std::vector<std::uint64_t>
{
    const auto it = m_replicas.find(from);
    if (it == m_replicas.end())
        return {};
    const auto wasComplete = isComplete(now);
    it->second.hasReplied = true;
    it->second.confirmed = {message.ids.begin(), message.ids.end()};
    // A node that has just started has an incomplete view. Its peers name the replicas that it had before.
    if (!wasComplete) {
        for (const auto &node : message.replicas) {
            if (node != m_ownNode && !m_replicas.contains(node))
                ask(node, m_replicas[node], now);
        }
    }
    return message.ids;
}

auto LeavingReplication::isComplete(TimePoint now) const -> bool
{
    const auto hasReplied = [](const auto &it) { return it.second.hasReplied; };
    const auto isDone = [&](const auto &it) {
        return it.second.hasReplied || now - it.second.firstAskedAt >= MaxAnswerTime;
    };
    if (std::ranges::any_of(m_replicas, hasReplied) && std::ranges::all_of(m_replicas, isDone))
        return true;
    const auto isGivenUp = [&](const auto &it) {
        return it.second.hasReplied
               || (it.second.requests >= MinRequests
                   && now - it.second.askedAt >= FirstRepeatInterval);
    };
    return now - m_startedAt >= MaxWait && std::ranges::all_of(m_replicas, isGivenUp);
}

auto LeavingReplication::isRecordedByAll() const -> bool
{
    return std::ranges::all_of(m_replicas, [&](const auto &it) { return hasConfirmed(it.second); });
}

auto LeavingReplication::isRecordedByAny() const -> bool
{
    return std::ranges::any_of(m_replicas, [&](const auto &it) { return hasConfirmed(it.second); });
}

auto LeavingReplication::removeExpired(TimePoint now) -> void
{
    std::erase_if(m_records,
                  [&](const auto &it) { return now - it.second.lastSeenAt > Retention; });
    while (m_records.size() > MaxRecords) {
        const auto oldest = std::ranges::min_element(
                m_records, {}, [](const auto &it) { return it.second.lastSeenAt; });
        m_records.erase(oldest);
    }
}

auto LeavingReplication::takeMessages() -> std::vector<std::pair<NodeId, LeavingMessage>>
{
    return std::exchange(m_out, {});
}

} // namespace stairspur::membership
