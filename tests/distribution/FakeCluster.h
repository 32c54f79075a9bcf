#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <stairspur/distribution/DistributionState.h>
#include <stairspur/distribution/PublishProtocol.h>

#include "FakeNode.h"
#include "FakeStore.h"
#include "VirtualClock.h"

namespace stairspur::distribution {

/// Nodes with a fake store and a fake network on a virtual clock, for the tests of the distribution.
template <typename Policy>
class FakeCluster : public VirtualClock
{
public:
    using Node = FakeNode<Policy>;
    using Cut = std::function<bool(const NodeId &from, const NodeId &to)>;

    FakeCluster(int domains, int perDomain, std::uint64_t seed)
        : random(seed)
    {
        for (auto domain = 0; domain < domains; ++domain) {
            for (auto index = 0; index < perDomain; ++index) {
                const auto name = "d" + std::to_string(domain);
                addNode(name + "/" + std::to_string(index), name);
            }
        }
        shareView();
    }

    auto addNode(const NodeId &id, const std::string &domain) -> void
    {
        auto &node = nodes[id];
        node.domain = domain;
        start(id);
    }

    /// Starts a process without a configuration, under an id that an earlier process may have had.
    auto start(const NodeId &id) -> void
    {
        auto &node = nodes[id];
        node.state = std::make_unique<DistributionState<Policy>>(id, node.domain, settings, true,
                                                                 random());
        node.isAlive = true;
        node.isPaused = false;
        node.watch = {.generation = node.watch.generation + 1};
        node.pendingEvents.clear();
        node.versions.clear();
        node.sources.clear();
    }

    auto kill(const NodeId &id) -> void { nodes[id].isAlive = false; }

    auto pause(const NodeId &id) -> void { nodes[id].isPaused = true; }

    auto resume(const NodeId &id) -> void
    {
        nodes[id].isPaused = false;
        for (const auto &it : std::exchange(nodes[id].pendingEvents, {}))
            it();
        drain(id);
    }

    /// Passes the alive nodes to every node, as membership does.
    auto shareView() -> void
    {
        auto peers = std::vector<Peer>();
        for (const auto &[id, node] : nodes) {
            if (node.isAlive)
                peers.push_back({id, node.domain});
        }
        for (auto &[id, node] : nodes)
            node.state->setPeers(peers);
    }

    auto apply(const config::Sections &sections, const std::string &id) -> PublishResult
    {
        auto protocol =
                PublishProtocol<>({.sections = sections, .applyId = id, .appliedBy = "operator"});
        while (!protocol.isDone()) {
            const auto request = protocol.next();
            if (const auto *range = std::get_if<store::RangeRequest>(&request))
                protocol.didReceiveRange(store.range(*range));
            else
                protocol.didReceiveTxn(store.txn(std::get<store::Transaction>(request)));
        }
        if (!isWatchSilent)
            notifyWatches();
        return protocol.result();
    }

    /// Sends the head to each open watch that is not silent.
    auto notifyWatches() -> void
    {
        for (auto &[id, node] : nodes) {
            if (node.watch.isOpen)
                sendHead(id);
        }
    }

    /// Resets the connections of all open watches. With `isHistoryGone` the store refuses to continue from their revision.
    auto cutWatches(bool isHistoryGone) -> void
    {
        for (auto &[id, node] : nodes) {
            if (!node.watch.isOpen)
                continue;
            node.watch.isHistoryGone = isHistoryGone;
            endWatch(id, WatchEnding::Other);
        }
    }

    /// Makes all watches that are open now silent without ending them. New watches work.
    auto silenceWatches() -> void
    {
        for (auto &[id, node] : nodes)
            node.watch.isSilent = node.watch.isOpen;
    }

    /// Makes every connection that is open now silent without an error. New connections work.
    auto silenceConnections() -> void
    {
        silenceWatches();
        for (auto &[id, node] : nodes) {
            node.connections.isStoreSilent = true;
            for (const auto &[peer, other] : nodes)
                node.connections.silentLinks.insert(peer);
        }
    }

    auto run(Duration time) -> void
    {
        const auto end = now + time;
        while (now < end) {
            if (now >= m_nextTick)
                tick();
            advanceTo(std::min(end, m_nextTick));
        }
    }

    /// Returns the time of a node's own clock. The clocks of nodes may differ.
    [[nodiscard]] auto clockOf(const NodeId &id) const -> TimePoint
    {
        return now + nodes.at(id).clockOffset;
    }

    /// Runs until every running node has the store's head in force, or until the time limit.
    auto runUntilCovered(Duration limit) -> bool
    {
        const auto end = now + limit;
        const auto hash = store.head().hash;
        while (now < end && !isCovered(hash))
            run(std::chrono::milliseconds(1));
        return isCovered(hash);
    }

    /// Returns whether every running node has the configuration of this hash in force.
    [[nodiscard]] auto isCovered(const std::string &hash) const -> bool
    {
        return std::ranges::all_of(nodes, [&](const auto &it) {
            return !it.second.isAlive || it.second.state->current().hash() == hash;
        });
    }

    /// Executes the pending actions of a node with the fakes.
    auto drain(const NodeId &id) -> void
    {
        for (auto &action : nodes[id].state->takeActions())
            std::visit([&](auto &it) { carryOut(id, it); }, action);
    }

    /// Sends a message between nodes, which may be lost, delayed and duplicated.
    auto transmit(const NodeId &from, const NodeId &to, const std::function<void()> &event) -> void
    {
        const auto copies = randomUnit(random) < duplicateShare ? 2 : 1;
        for (auto n = 0; n < copies; ++n) {
            if (isCut(from, to) || randomUnit(random) < lossShare)
                continue;
            deliver(to, event);
        }
    }

    std::map<NodeId, Node> nodes;
    FakeStore store;
    DistributionSettings settings;
    Random random;
    Cut isCut = [](const auto &, const auto &) { return false; };
    double lossShare = 0;
    double duplicateShare = 0;
    Duration minLatency{500};
    Duration maxLatency{2000};
    bool isStoreDown = false;
    bool isWatchSilent = false;
    bool hasDigests = true; ///< Whether membership carries digests.
    Duration storeLatency{3000};
    std::uint64_t storeReads = 0;

private:
    static constexpr auto TickInterval = Duration{100'000};
    static constexpr auto TicksPerProbe = 10U;

    auto latency() -> Duration
    {
        const auto span = static_cast<std::uint64_t>((maxLatency - minLatency).count()) + 1;
        return minLatency + Duration{static_cast<std::int64_t>(randomBelow(random, span))};
    }

    auto deliver(const NodeId &to, std::function<void()> event) -> void
    {
        schedule(latency(), [this, to, event = std::move(event)] { arrive(to, event); });
    }

    auto arrive(const NodeId &to, const std::function<void()> &event) -> void
    {
        auto &node = nodes[to];
        if (!node.isAlive)
            return;
        if (node.isPaused) {
            node.pendingEvents.push_back(event);
            return;
        }
        event();
        drain(to);
    }

    auto tick() -> void
    {
        m_nextTick = now + TickInterval;
        ++m_ticks;
        for (auto &[id, node] : nodes) {
            if (!node.isAlive || node.isPaused)
                continue;
            node.state->tick(clockOf(id));
            drain(id);
            if (hasDigests && m_ticks % TicksPerProbe == 0)
                probe(id);
        }
    }

    /// Sends a membership probe to a random node of the domain and its ack, each with a digest.
    auto probe(const NodeId &id) -> void
    {
        auto others = std::vector<const NodeId *>();
        const auto &domain = nodes[id].domain;
        for (const auto &[other, node] : nodes) {
            if (other != id && node.isAlive && node.domain == domain)
                others.push_back(&other);
        }
        if (others.empty())
            return;
        const auto to = *others[randomBelow(random, others.size())];
        const auto digest = nodes[id].state->digest();
        transmit(id, to, [this, id, to, digest] {
            nodes[to].state->didReceiveDigest(id, digest, clockOf(to));
            const auto own = nodes[to].state->digest();
            transmit(to, id, [this, id, to, own] {
                nodes[id].state->didReceiveDigest(to, own, clockOf(id));
            });
        });
    }

    auto carryOut(const NodeId &id, const SendDatagram &action) -> void
    {
        transmit(id, action.to, [this, id, action] {
            nodes[action.to].state->didReceiveDatagram(id, action.payload, clockOf(action.to));
        });
    }

    auto carryOut(const NodeId &id, const SendRequest &action) -> void
    {
        const auto isAnswered = std::make_shared<bool>(false);
        auto &links = nodes[id].connections.silentLinks;
        if (links.contains(action.to)) {
            schedule(FakeConnections::LinkReplacedAfter, [this, id, action, isAnswered, &links] {
                links.erase(action.to);
                exchange(id, action, isAnswered);
            });
        } else {
            exchange(id, action, isAnswered);
        }
        schedule(action.timeout, [this, id, action, isAnswered] {
            if (std::exchange(*isAnswered, true))
                return;
            arrive(id,
                   [this, id, action] { nodes[id].state->didFailRequest(action.id, clockOf(id)); });
        });
    }

    /// Sends a control request on a working link, and its reply.
    auto exchange(const NodeId &id, const SendRequest &action,
                  const std::shared_ptr<bool> &isAnswered) -> void
    {
        if (isCut(id, action.to) || isCut(action.to, id))
            return;
        deliver(action.to, [this, id, action, isAnswered] {
            const auto reply = nodes[action.to].state->serve(action.payload);
            deliver(id, [this, id, action, reply, isAnswered] {
                if (!std::exchange(*isAnswered, true))
                    nodes[id].state->didReceiveReply(action.id, reply, clockOf(id));
            });
        });
    }

    auto carryOut(const NodeId &id, const ReadHead &) -> void
    {
        ++storeReads;
        const auto delay = nodes[id].connections.timeToRead() + storeLatency;
        schedule(delay, [this, id, sentAt = clockOf(id)] {
            const auto isOk = !isStoreDown && nodes[id].mayReachStore;
            arrive(id, [this, id, head = store.head(), isOk, sentAt] {
                nodes[id].didReadHead(head, isOk, sentAt, clockOf(id));
            });
        });
    }

    auto carryOut(const NodeId &id, const OpenWatch &) -> void
    {
        ++storeReads;
        const auto generation = ++nodes[id].watch.generation;
        schedule(storeLatency, [this, id, generation] {
            auto &node = nodes[id];
            if (!node.isAlive || node.watch.generation != generation)
                return;
            const auto isRefused = std::exchange(node.watch.isHistoryGone, false);
            if (isStoreDown || !node.mayReachStore || isRefused)
                return endWatch(id, isRefused ? WatchEnding::HistoryLost : WatchEnding::Other);
            node.watch.isOpen = true;
            node.watch.isSilent = false;
            sendHead(id);
        });
    }

    auto carryOut(const NodeId &id, const CloseWatch &) -> void
    {
        endWatch(id, WatchEnding::Other);
    }

    auto endWatch(const NodeId &id, WatchEnding ending) -> void
    {
        nodes[id].watch.isOpen = false;
        const auto generation = ++nodes[id].watch.generation;
        schedule(latency(), [this, id, ending, generation] {
            if (nodes[id].watch.generation == generation)
                arrive(id,
                       [this, id, ending] { nodes[id].state->didEndWatch(ending, clockOf(id)); });
        });
    }

    auto sendHead(const NodeId &id) -> void
    {
        auto &node = nodes[id];
        if (isWatchSilent || node.watch.isSilent || !node.mayReachStore
            || store.head().version == 0)
            return;
        ++storeReads;
        deliver(id, [this, id, head = store.head()] {
            nodes[id].state->didWatchHead(head, clockOf(id));
        });
    }

    auto carryOut(const NodeId &id, const ReadSections &action) -> void
    {
        storeReads += std::max<std::size_t>(action.hashes.size(), 1);
        schedule(storeLatency, [this, id, action] {
            const auto isOk = !isStoreDown && nodes[id].mayReachStore;
            arrive(id, [this, id, blobs = store.blobs(), isOk] {
                if (isOk)
                    nodes[id].state->didReadSections(blobs, clockOf(id));
                else
                    nodes[id].state->didFailToReadSections(clockOf(id));
            });
        });
    }

    auto carryOut(const NodeId &id, const Publish &publish) -> void
    {
        nodes[id].sources.push_back(publish.source);
        nodes[id].versions.push_back(nodes[id].state->current().version());
        nodes[id].lastAdoption = now;
    }

    auto carryOut(const NodeId &id, const Alarm &alarm) -> void
    {
        nodes[id].alarms.push_back(alarm);
    }

    std::uint64_t m_ticks = 0;
    TimePoint m_nextTick{};
};

} // namespace stairspur::distribution
