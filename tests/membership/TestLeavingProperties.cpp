#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/membership/BackendAnnouncements.h>
#include <stairspur/membership/LeavingReplication.h>

#include "Announcements.h"

/// Seeded sequences of messages that are lost, repeated, delayed and reordered, with restarts of the node between them.
using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Millisecond = Duration{1'000};
static constexpr auto Second = Duration{1'000'000};
static constexpr auto HeartbeatInterval = Second;
static constexpr auto Timeout = 5 * Second;
static constexpr auto MaxRecordingTime = 500 * Millisecond;

/// One host: a node that restarts, three other nodes that record its leaving instances, and up to three process instances of
/// a backend server, one after the other, each with a heartbeat loop that ends some time after its leaving.
class HostUnderTest
{
public:
    explicit HostUnderTest(std::uint64_t seed)
        : m_seed(seed)
        , m_random(seed)
        , m_hasStartTimes(randomBelow(m_random, 2) == 0)
        , m_keepsName(m_hasStartTimes && randomBelow(m_random, 2) == 0)
    {
        startNode();
        for (const auto *it : {"r1", "r2", "r3"})
            m_replicas[it] = std::make_unique<LeavingReplication>(it, "domain", m_now);
        publishView();
    }

    auto run() -> void
    {
        static constexpr auto Length = 60 * Second;
        startInstance();
        for (const auto end = m_now + Length; m_now < end; m_now += 10 * Millisecond)
            step();
        // The last instance that runs and does not leave serves in the end.
        m_isCalm = true;
        for (const auto end = m_now + 3 * Timeout; m_now < end; m_now += 10 * Millisecond)
            step();
        const auto &last = m_instances.back();
        cr_assert(last.isLeaving || m_node->isServing(),
                  "seed %llu: the running instance is shut out",
                  static_cast<unsigned long long>(m_seed));
    }

private:
    struct Instance
    {
        BackendIncarnation incarnation;
        std::uint64_t sequence = 0;
        TimePoint nextHeartbeat;
        TimePoint leavesAt;
        TimePoint endsAt;
        bool crashes = false; ///< Ends without a leaving.
        bool isLeaving = false;
        bool usesDelete = false;
        bool statesInAnswers = false;
        bool deletesByName = false; ///< Its DELETE contains no start time.
        bool loopGoesOn = false;    ///< Heartbeats `ready` go on after its leaving.
    };

    struct Delivery
    {
        Announcement announcement;
        bool isDelete = false;
        std::size_t instance = 0;
    };

    auto random(Duration least, Duration most) -> Duration
    {
        return least + Duration(randomBelow(m_random, (most - least).count()));
    }

    auto happens(std::uint64_t oneIn) -> bool { return randomBelow(m_random, oneIn) == 0; }

    auto startInstance() -> void
    {
        auto instance = Instance();
        const auto number = std::to_string(m_keepsName ? 1 : m_instances.size() + 1);
        instance.incarnation = {"i-" + number, m_hasStartTimes ? unixMilliseconds() : 0};
        instance.nextHeartbeat = m_now;
        // Some processes leave before they have announced that they serve.
        instance.leavesAt = happens(4) ? m_now : m_now + random(3 * Second, 20 * Second);
        instance.endsAt = instance.leavesAt + random(Second, 8 * Second);
        instance.crashes = happens(4);
        instance.usesDelete = happens(3);
        instance.deletesByName = !m_keepsName && happens(2);
        instance.statesInAnswers = !instance.usesDelete && happens(4);
        instance.loopGoesOn = happens(2);
        m_instances.push_back(instance);
    }

    auto startNode() -> void
    {
        m_node = std::make_unique<BackendAnnouncements>(Timeout);
        m_node->awaitRecords();
        m_isWaiting = true;
        m_replication = std::make_unique<LeavingReplication>("node", "domain", m_now);
        ++m_startIncarnation;
    }

    auto publishView() -> void
    {
        auto view = MembershipView();
        for (const auto *it : {"node", "r1", "r2", "r3"}) {
            auto member = Member();
            member.node = it;
            member.domain = "domain";
            member.startIncarnation = it == std::string("node") ? m_startIncarnation : 1;
            view.members.push_back(member);
        }
        const auto shared = std::make_shared<const MembershipView>(std::move(view));
        m_replication->setView(shared, m_now);
        for (auto &[name, it] : m_replicas)
            it->setView(shared, m_now);
    }

    auto step() -> void
    {
        if (!m_isCalm && happens(600)) {
            startNode();
            publishView();
            repeatUnacknowledged();
        }
        if (!m_isCalm && happens(1'500))
            m_now += random(Second, 4 * Second); // The host is suspended.
        for (std::size_t index = 0; index < m_instances.size(); ++index)
            live(index);
        const auto &last = m_instances.back();
        if (m_now >= last.endsAt && m_instances.size() < 3 && !m_isCalm)
            startInstance();
        deliverDue();
        exchangeRecords();
        acknowledge();
        m_node->tick(m_now);
        expectNothingSent();
    }

    /// Sends what the instance sends now: heartbeats, its leaving, and its statement in an answer.
    auto live(std::size_t index) -> void
    {
        auto &it = m_instances[index];
        const auto isLast = index + 1 == m_instances.size();
        // In the calm end the last instance goes on, unless it leaves already.
        const auto mayLeave = !(m_isCalm && isLast && !it.isLeaving);
        if (mayLeave && !it.crashes && !it.isLeaving && m_now >= it.leavesAt) {
            it.isLeaving = true;
            sendLeaving(index);
        }
        if ((mayLeave && m_now >= it.endsAt) || m_now < it.nextHeartbeat)
            return;
        it.nextHeartbeat = m_now + HeartbeatInterval;
        if (it.isLeaving && !it.loopGoesOn)
            return;
        send({nextAnnouncement(it, ServingState::Serving), false, index});
    }

    static auto nextAnnouncement(Instance &it, ServingState state) -> Announcement
    {
        auto announcement = makeAnnouncement(it.incarnation.instance, ++it.sequence, state);
        announcement.incarnation = it.incarnation;
        return announcement;
    }

    auto sendLeaving(std::size_t index) -> void
    {
        auto &it = m_instances[index];
        if (it.statesInAnswers && isCurrent(it)) {
            replicateIfNew(m_node->didStateLeaving(it.incarnation));
            m_unacknowledged.emplace(index, m_now + MaxRecordingTime);
            return;
        }
        send({nextAnnouncement(it, ServingState::Draining), it.usesDelete, index});
    }

    auto send(Delivery delivery) -> void
    {
        // A leaving is repeated by its sender until it is acknowledged, so that only others are lost.
        const auto isReady =
                !delivery.isDelete && delivery.announcement.state == ServingState::Serving;
        if (isReady && !m_isCalm && happens(5))
            return;
        const auto isDelayed = !m_isCalm && happens(4);
        const auto delay = isDelayed ? random(Second, 6 * Second) : random({}, 50 * Millisecond);
        if (!m_isCalm && happens(8))
            m_deliveries.emplace(m_now + random({}, 4 * Second), delivery);
        m_deliveries.emplace(m_now + delay, std::move(delivery));
    }

    auto deliverDue() -> void
    {
        while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now) {
            const auto delivery = m_deliveries.begin()->second;
            m_deliveries.erase(m_deliveries.begin());
            const auto &announcement = delivery.announcement;
            if (delivery.isDelete)
                replicateIfNew(leave(m_instances[delivery.instance]));
            else
                replicateIfNew(m_node->receive(announcement, m_now));
            if (delivery.isDelete || announcement.state == ServingState::Draining)
                m_unacknowledged.emplace(delivery.instance, m_now + MaxRecordingTime);
        }
    }

    /// Acknowledges the leavings that the replicas have recorded, or for which it was waited long enough.
    auto acknowledge() -> void
    {
        std::erase_if(m_unacknowledged, [&](const auto &it) {
            const auto isDue = m_replication->isRecordedByAll() || m_now >= it.second;
            if (isDue)
                m_acknowledged.insert(it.first);
            return isDue;
        });
    }

    /// Sends the leavings again that a restarted node has not acknowledged.
    auto repeatUnacknowledged() -> void
    {
        for (const auto &[index, deadline] : std::exchange(m_unacknowledged, {}))
            send({nextAnnouncement(m_instances[index], ServingState::Draining),
                  m_instances[index].usesDelete, index});
    }

    auto leave(const Instance &it) -> AnnouncementResult
    {
        auto incarnation = it.incarnation;
        if (it.deletesByName)
            incarnation.startedAtMs = 0;
        return m_node->leave(incarnation, m_now, unixMilliseconds());
    }

    [[nodiscard]] auto unixMilliseconds() const -> std::uint64_t
    {
        return static_cast<std::uint64_t>(m_now.time_since_epoch().count()) / 1'000;
    }

    auto replicateIfNew(const AnnouncementResult &result) -> void
    {
        if (!result.isNewlyLeaving)
            return;
        m_replication->setOwn(m_node->leavingInstances(), m_now);
        exchangeRecords();
    }

    /// Delivers the messages between the node and its replicas, of which some are lost.
    auto exchangeRecords() -> void
    {
        m_replication->tick(m_now);
        for (const auto &[to, message] : m_replication->takeMessages()) {
            if (!happens(5))
                m_replicas.at(to)->receive("node", message, m_now);
        }
        for (auto &[name, replica] : m_replicas) {
            for (const auto &[to, message] : replica->takeMessages())
                adopt(m_replication->receive(name, message, m_now));
        }
        if (m_isWaiting && m_replication->isComplete(m_now)) {
            m_isWaiting = false;
            m_node->didReceiveRecords();
        }
    }

    auto adopt(const std::vector<std::uint64_t> &ids) -> void
    {
        const auto isKnown = [&](auto id) { return m_node->leavingInstances().contains(id); };
        if (std::ranges::all_of(ids, isKnown))
            return;
        m_node->adoptLeaving(ids, unixMilliseconds());
        m_replication->setOwn(m_node->leavingInstances(), m_now);
    }

    [[nodiscard]] auto isCurrent(const Instance &it) const -> bool
    {
        return m_node->current() && m_node->current()->incarnation == it.incarnation;
    }

    /// Returns whether requests to the current process instance reach this one: it is the current one, or runs under the name of
    /// that.
    [[nodiscard]] auto isReached(std::size_t index) const -> bool
    {
        const auto isLast = index + 1 == m_instances.size();
        return isCurrent(m_instances[index]) || (m_keepsName && isLast);
    }

    auto expectNothingSent() const -> void
    {
        for (const auto index : m_acknowledged)
            cr_assert(!m_node->isServing() || !isReached(index),
                      "seed %llu: instance %zu serves after its leaving was acknowledged",
                      static_cast<unsigned long long>(m_seed), index);
    }

    std::uint64_t m_seed;
    Random m_random;
    bool m_hasStartTimes;
    bool m_keepsName;
    bool m_isCalm = false;
    bool m_isWaiting = false;
    TimePoint m_now{1'000 * Second};
    std::unique_ptr<BackendAnnouncements> m_node;
    std::unique_ptr<LeavingReplication> m_replication;
    std::map<std::string, std::unique_ptr<LeavingReplication>> m_replicas;
    Incarnation m_startIncarnation = 0;
    std::vector<Instance> m_instances;
    std::multimap<TimePoint, Delivery> m_deliveries;
    std::map<std::size_t, TimePoint>
            m_unacknowledged; ///< Received leavings, and until when they wait.
    std::set<std::size_t> m_acknowledged;
};

Test(LeavingProperties, nothingIsSentAfterAnAcknowledgedLeavingAndNobodyElseIsShutOut)
{
    static constexpr auto Seeds = std::uint64_t{400};
    for (auto seed = std::uint64_t{1}; seed <= Seeds; ++seed)
        HostUnderTest(seed).run();
}
