#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <random>

#include <stairspur/core/Error.h>
#include <stairspur/membership/LeavingReplication.h>

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Millisecond = Duration{1'000};
static constexpr auto Second = Duration{1'000'000};

/// Hosts of several failure domains on a virtual clock. All nodes have the same view, and messages may be lost.
class ReplicatedHosts
{
public:
    ReplicatedHosts(int domains, int hostsPerDomain)
    {
        for (auto domain = 0; domain < domains; ++domain) {
            for (auto host = 0; host < hostsPerDomain; ++host) {
                auto member = Member();
                member.node = "10." + std::to_string(domain) + ".0." + std::to_string(host) + ":1";
                member.domain = "domain" + std::to_string(domain);
                member.startIncarnation = 1;
                members.push_back(member);
            }
        }
        std::ranges::sort(members, {}, &Member::node);
        for (const auto &it : members)
            start(it.node);
        publishView();
        run(2 * Second);
    }

    auto start(const NodeId &node) -> void
    {
        const auto &member = *find(node);
        nodes[node] = std::make_unique<LeavingReplication>(node, member.domain, now);
        own[node] = {};
    }

    auto restart(const NodeId &node) -> void
    {
        ++find(node)->startIncarnation;
        start(node);
        publishView();
    }

    auto addLeaving(const NodeId &node, std::uint64_t id) -> void
    {
        own[node].add(id);
        nodes[node]->setOwn(own[node], now);
    }

    auto publishView() -> void
    {
        const auto view = std::make_shared<const MembershipView>(MembershipView{members});
        for (auto &[node, replication] : nodes)
            replication->setView(view, now);
    }

    auto run(Duration length) -> void
    {
        for (const auto end = now + length; now < end; now += 10 * Millisecond) {
            for (auto &[node, replication] : nodes) {
                replication->tick(now);
                deliver(node, *replication);
            }
        }
    }

    auto find(const NodeId &node) -> std::vector<Member>::iterator
    {
        return std::ranges::find(members, node, &Member::node);
    }

    TimePoint now{Second * 1'000};
    std::vector<Member> members;
    std::map<NodeId, std::unique_ptr<LeavingReplication>> nodes;
    std::map<NodeId, LeavingInstances> own;
    double lossRate = 0;
    std::size_t messages = 0;

private:
    auto deliver(const NodeId &from, LeavingReplication &replication) -> void
    {
        for (const auto &[to, message] : replication.takeMessages()) {
            ++messages;
            if (!nodes.contains(to) || std::bernoulli_distribution(lossRate)(m_random))
                continue;
            const auto read = readLeavingMessage(writeLeavingMessage(message));
            const auto ids = nodes[to]->receive(from, read, now);
            auto isNew = false;
            for (const auto id : ids)
                isNew = own[to].add(id) || isNew;
            if (isNew)
                nodes[to]->setOwn(own[to], now);
        }
    }

    std::mt19937_64 m_random{7};
};

Test(LeavingReplication, aRestartedNodeGetsItsRecordsBack)
{
    struct
    {
        int domains;
        int hostsPerDomain;
    } const sizes[] = {{1, 2}, {3, 5}, {4, 50}};
    for (const auto &it : sizes) {
        auto hosts = ReplicatedHosts(it.domains, it.hostsPerDomain);
        const auto node = hosts.members.front().node;
        hosts.addLeaving(node, 11);
        hosts.addLeaving(node, 12);
        hosts.run(Second);
        hosts.restart(node);
        cr_assert(!hosts.nodes[node]->isComplete(hosts.now));
        hosts.run(30 * Millisecond);
        cr_assert(hosts.nodes[node]->isComplete(hosts.now), "%d domains", it.domains);
        cr_assert(hosts.own[node].contains(11) && hosts.own[node].contains(12));
    }
}

Test(LeavingReplication, recordsOutlastTheRestartOfAWholeDomain)
{
    auto hosts = ReplicatedHosts(2, 5);
    const auto node = hosts.members.front().node;
    hosts.addLeaving(node, 11);
    hosts.run(Second);
    for (const auto &it : std::vector(hosts.members)) {
        if (it.domain == "domain0")
            hosts.restart(it.node);
    }
    hosts.run(Second);
    cr_assert(hosts.own[node].contains(11));
}

Test(LeavingReplication, aReplicaThatRestartsIsFilledAgain)
{
    auto hosts = ReplicatedHosts(1, 4);
    const auto node = hosts.members.front().node;
    hosts.addLeaving(node, 11);
    hosts.run(Second);
    for (const auto &it : std::vector(hosts.members)) {
        if (it.node != node) {
            hosts.restart(it.node);
            hosts.run(Second);
        }
    }
    hosts.restart(node);
    hosts.run(Second);
    cr_assert(hosts.own[node].contains(11));
}

Test(LeavingReplication, lostMessagesAreRepeated)
{
    auto hosts = ReplicatedHosts(2, 4);
    const auto node = hosts.members.front().node;
    hosts.lossRate = 0.5;
    hosts.addLeaving(node, 11);
    hosts.run(10 * Second);
    hosts.restart(node);
    hosts.run(2 * Second);
    cr_assert(hosts.own[node].contains(11));
}

Test(LeavingReplication, calmHostsSendNothing)
{
    auto hosts = ReplicatedHosts(3, 20);
    const auto atStart = hosts.messages;
    // Three replicas in the domain and one in each of two others, one request and one reply each; at the start all do.
    cr_assert_leq(atStart, 60 * 5 * 2 * 2);
    hosts.run(60 * Second);
    cr_assert_eq(hosts.messages, atStart, "%zu %zu", hosts.messages, atStart);
    hosts.addLeaving(hosts.members.front().node, 11);
    hosts.run(60 * Second);
    cr_assert_eq(hosts.messages, atStart + 10, "%zu", hosts.messages - atStart);
}

Test(LeavingReplication, withoutAPeerTheWaitEnds)
{
    auto hosts = ReplicatedHosts(1, 1);
    const auto node = hosts.members.front().node;
    hosts.restart(node);
    cr_assert(!hosts.nodes[node]->isComplete(hosts.now));
    cr_assert(!hosts.nodes[node]->isComplete(hosts.now + 999 * Millisecond));
    cr_assert(hosts.nodes[node]->isComplete(hosts.now + Second));
}

Test(LeavingReplication, anOlderNodeThatDoesNotAnswerIsNotWaitedForLong)
{
    auto hosts = ReplicatedHosts(1, 4);
    const auto node = hosts.members.front().node;
    hosts.addLeaving(node, 11);
    hosts.run(Second);
    hosts.nodes.erase(hosts.members.back().node);
    hosts.restart(node);
    hosts.run(400 * Millisecond);
    cr_assert(hosts.nodes[node]->isComplete(hosts.now));
    cr_assert(hosts.own[node].contains(11));
}

Test(LeavingReplication, aNodeWithAPartialViewAsksTheReplicasThatItsPeersName)
{
    auto hosts = ReplicatedHosts(1, 30);
    const auto node = hosts.members.front().node;
    hosts.addLeaving(node, 11);
    hosts.run(Second);
    ++hosts.find(node)->startIncarnation;
    hosts.start(node);
    for (const auto &it : hosts.members) {
        if (it.node == node)
            continue;
        // Each other node is the only one in the first view once.
        hosts.start(node);
        const auto partial = MembershipView{{*hosts.find(node), it}};
        hosts.nodes[node]->setView(std::make_shared<const MembershipView>(partial), hosts.now);
        hosts.run(50 * Millisecond);
        cr_assert(hosts.own[node].contains(11), "%s", it.node.c_str());
    }
}

Test(LeavingReplication, recordsOfAHostThatIsGoneExpire)
{
    auto hosts = ReplicatedHosts(1, 3);
    const auto node = hosts.members.front().node;
    hosts.addLeaving(node, 11);
    hosts.run(Second);
    const auto gone = *hosts.find(node);
    hosts.nodes.erase(node);
    hosts.members.erase(hosts.find(node));
    hosts.publishView();
    hosts.now += std::chrono::minutes(11);
    hosts.publishView();
    hosts.members.insert(hosts.members.begin(), gone);
    hosts.start(node);
    hosts.publishView();
    hosts.run(Second);
    cr_assert(hosts.own[node].isEmpty());
}

Test(LeavingMessages, onlyWellFormedMessagesAreRead)
{
    const auto message = LeavingMessage{true, {1, UINT64_MAX}, {"10.0.0.1:7100"}};
    cr_assert(readLeavingMessage(writeLeavingMessage(message)) == message);
    auto tooMany = LeavingMessage{false, std::vector<std::uint64_t>(33, 1), {}};
    cr_expect_throw(readLeavingMessage(writeLeavingMessage(tooMany)), InputError);
    const auto bytes = writeLeavingMessage(message);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_expect_throw(readLeavingMessage(bytes.substr(0, n)), InputError, "%zu bytes", n);
}
