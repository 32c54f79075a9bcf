#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <stairspur/membership/MembershipState.h>

namespace stairspur::membership {

/// Sends datagrams between protocol states on a virtual clock. Each is delivered after a seeded random delay, unless
/// a fault prevents it. Used by the tests and by the measurement.
template <typename Policy>
class VirtualNetwork
{
public:
    using State = BasicMembershipState<Policy>;

    struct Node
    {
        std::unique_ptr<State> state; ///< Null while the process does not run.
        MembershipSettings settings;
        bool isPaused = false;
        /// Delay before the node reads a datagram that has arrived.
        Duration extraDelay{0};
        std::vector<MembershipEvent> events;
        /// The greatest incarnation of each member in events, for tests.
        std::map<NodeId, Incarnation> greatestIncarnations;
    };

    explicit VirtualNetwork(std::uint64_t seed)
        : m_random(seed)
    {}

    double lossProbability = 0;
    double duplicateProbability = 0;
    Duration minDelay{500};
    Duration maxDelay{2'000};
    /// Returns whether a datagram from one node to another is delivered.
    std::function<bool(const NodeId &, const NodeId &)> isConnected =
            [](const auto &, const auto &) { return true; };
    /// Datagrams of this node are recorded, and delivered again while `isReplaying`.
    NodeId recordedNode;
    bool isReplaying = false;
    /// Called for each event of a node.
    std::function<void(const NodeId &, const MembershipEvent &)> didEmit;

    auto start(const MembershipSettings &settings) -> State &
    {
        auto &node = m_nodes[settings.node];
        node.settings = settings;
        node.isPaused = false;
        node.greatestIncarnations.clear();
        node.state = std::make_unique<State>(settings, m_random(), m_now);
        schedule(m_now, settings.node, {}, {});
        return *node.state;
    }

    auto kill(const NodeId &node) -> void { m_nodes.at(node).state.reset(); }

    auto resume(const NodeId &id) -> void
    {
        auto &node = m_nodes.at(id);
        node.isPaused = false;
        // Overdue timers may run before any datagram is read.
        schedule(m_now, id, {}, {});
        for (auto &it : std::exchange(m_pending[id], {}))
            schedule(m_now, id, it.first, it.second);
    }

    auto run(Duration span) -> void
    {
        const auto end = m_now + span;
        while (!m_queue.empty() && m_queue.top().at <= end) {
            const auto delivery = m_queue.top();
            m_queue.pop();
            m_now = delivery.at;
            deliver(delivery);
        }
        m_now = end;
    }

    /// Sends the pending datagrams and collects the events of a node; used after calls from outside, such as leave().
    auto flush(const NodeId &id) -> void
    {
        auto &node = m_nodes.at(id);
        for (auto &it : node.state->takeDatagrams())
            transmit(id, it);
        for (auto &it : node.state->takeEvents()) {
            if (didEmit)
                didEmit(id, it);
            node.events.push_back(std::move(it));
        }
    }

    auto now() const -> TimePoint { return m_now; }
    auto nodes() -> std::map<NodeId, Node> & { return m_nodes; }
    auto node(const NodeId &id) -> Node & { return m_nodes.at(id); }
    auto random() -> Random & { return m_random; }

private:
    struct Delivery
    {
        TimePoint at;
        std::uint64_t order;
        NodeId to;
        NodeId from; ///< Empty for a tick.
        std::string payload;

        auto operator<(const Delivery &other) const -> bool
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    auto schedule(TimePoint at, const NodeId &to, const NodeId &from, std::string payload) -> void
    {
        m_queue.push({at, ++m_order, to, from, std::move(payload)});
    }

    auto transmit(const NodeId &from, const OutgoingDatagram &datagram) -> void
    {
        if (from == recordedNode)
            m_recorded[datagram.to].push_back(datagram.payload);
        const auto copies = randomUnit(m_random) < duplicateProbability ? 2 : 1;
        const auto isKnown = m_nodes.contains(datagram.to);
        if (!isKnown || !isConnected(from, datagram.to) || randomUnit(m_random) < lossProbability)
            return;
        const auto spread = static_cast<std::uint64_t>((maxDelay - minDelay).count()) + 1;
        for (auto index = 0; index < copies; ++index) {
            const auto delay =
                    minDelay + Duration(static_cast<Duration::rep>(randomBelow(m_random, spread)));
            schedule(m_now + delay + m_nodes.at(datagram.to).extraDelay, datagram.to, from,
                     datagram.payload);
        }
    }

    auto deliver(const Delivery &delivery) -> void
    {
        auto &node = m_nodes.at(delivery.to);
        if (!node.state)
            return;
        if (node.isPaused) {
            if (!delivery.from.empty())
                m_pending[delivery.to].emplace_back(delivery.from, delivery.payload);
            return;
        }
        if (isReplaying && delivery.from.empty())
            replayTo(delivery.to);
        if (!delivery.from.empty()) {
            node.state->receive(m_now, delivery.from, delivery.payload);
        } else if (m_nextTick[delivery.to] <= m_now) {
            // A restart or a resumption may have scheduled ticks twice; only one chain continues.
            node.state->tick(m_now);
            m_nextTick[delivery.to] = m_now + TickInterval;
            schedule(m_now + TickInterval, delivery.to, {}, {});
        }
        flush(delivery.to);
    }

    auto replayTo(const NodeId &to) -> void
    {
        static constexpr auto Share = 0.1;
        for (const auto &it : m_recorded[to]) {
            if (randomUnit(m_random) < Share)
                m_nodes.at(to).state->receive(m_now, recordedNode, it);
        }
    }

    static constexpr auto TickInterval = Duration{100'000};

    Random m_random;
    TimePoint m_now{Duration{1'000'000'000}};
    std::uint64_t m_order = 0;
    std::priority_queue<Delivery> m_queue;
    std::map<NodeId, Node> m_nodes;
    std::map<NodeId, std::vector<std::string>> m_recorded;
    std::map<NodeId, TimePoint> m_nextTick;
    std::map<NodeId, std::vector<std::pair<NodeId, std::string>>> m_pending;
};

} // namespace stairspur::membership
