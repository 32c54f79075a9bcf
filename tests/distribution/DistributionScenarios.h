#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "FakeCluster.h"

/// Fault scenarios for the distribution of configurations. Each returns the violations that it found, which are none with the
/// real guards.
namespace stairspur::distribution {

using namespace std::chrono_literals;

using Violations = std::vector<std::string>;

inline constexpr auto Seeds = {1U, 2U, 3U, 4U, 5U};

inline auto sectionsOf(int mark, int n = 12) -> config::Sections
{
    auto sections = config::Sections();
    for (auto index = 0; index < n; ++index)
        sections["service/" + std::to_string(index)] =
                std::string(200, 'x') + std::to_string(index);
    sections["service/" + std::to_string(mark % n)] = "mark " + std::to_string(mark);
    return sections;
}

template <typename Policy>
auto applyNext(FakeCluster<Policy> &cluster, int mark) -> void
{
    cluster.apply(sectionsOf(mark), "apply-" + std::to_string(mark));
}

/// Checks what must hold at any time: no node returned to an older version, and none mixes two versions.
template <typename Policy>
auto checkOrder(FakeCluster<Policy> &cluster, const std::string &name, Violations &found) -> void
{
    for (const auto &[id, node] : cluster.nodes) {
        if (!std::ranges::is_sorted(node.versions, std::less_equal<>()))
            found.push_back(name + ": " + id + " returned to an older version");
        const auto hash = config::hashOf(node.state->current().sections());
        if (node.state->current().version() > 0 && hash != node.state->current().hash())
            found.push_back(name + ": " + id + " has sections of two versions");
    }
}

/// Checks what must hold at the end: all nodes have the version in force, and none ever returned to an older one.
template <typename Policy>
auto check(FakeCluster<Policy> &cluster, Duration limit, const std::string &name, Violations &found)
        -> void
{
    if (!cluster.runUntilCovered(limit)) {
        auto missing = std::string();
        for (const auto &[id, node] : cluster.nodes) {
            if (node.isAlive && node.state->current().hash() != cluster.store.head().hash)
                missing += " " + id + " has " + std::to_string(node.state->current().version());
        }
        found.push_back(name + ": version " + std::to_string(cluster.store.head().version)
                        + " is not in force everywhere:" + missing);
    }
    checkOrder(cluster, name, found);
}
template <typename Policy>
auto startUp(FakeCluster<Policy> &cluster, const std::string &name, Violations &found) -> void
{
    applyNext(cluster, 0);
    check(cluster, 10s, name + " start", found);
    cluster.run(WatchSettling); // Most scenarios need relays that watch the head.
}

template <typename Policy>
auto runDamagedNetwork() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(2, 8, seed);
        cluster.lossShare = 0.3;
        cluster.duplicateShare = 0.3;
        cluster.maxLatency = 300ms; // This reorders all messages.
        startUp(cluster, "damage", found);
        for (auto mark = 1; mark <= 6; ++mark) {
            applyNext(cluster, mark);
            cluster.run(400ms);
        }
        check(cluster, 30s, "damage", found);
    }
    return found;
}

/// Loses a tenth of all datagrams, with which a version must be in force everywhere within the five seconds that are
/// allowed, and nearly a third, with a limit of ten seconds.
template <typename Policy>
auto runHeavyLoss() -> Violations
{
    auto found = Violations();
    for (const auto &[loss, limit] : {std::pair(0.1, 5s), std::pair(0.3, 10s)}) {
        auto cluster = FakeCluster<Policy>(1, 80, 1);
        startUp(cluster, "heavy loss", found);
        cluster.lossShare = loss;
        for (auto mark = 1; mark <= 6; ++mark) {
            applyNext(cluster, mark);
            check(cluster, limit, "heavy loss", found);
        }
    }
    return found;
}

/// Loses all datagrams after an apply. The digests on membership's messages must suffice to spread the version.
template <typename Policy>
auto runLostDatagrams() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(1, 10, seed);
        startUp(cluster, "lost datagrams", found);
        cluster.lossShare = 1;
        applyNext(cluster, 1);
        cluster.run(300ms);
        cluster.lossShare = 0;
        check(cluster, 15s, "lost datagrams", found);
    }
    return found;
}

/// Cuts one node's incoming messages, outgoing messages, or both, then ends the cut.
template <typename Policy>
auto runCutPeer() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        for (const auto direction : {1, 2, 3}) {
            auto cluster = FakeCluster<Policy>(1, 6, seed);
            startUp(cluster, "cut peer", found);
            const auto id = cluster.nodes.begin()->first;
            cluster.isCut = [id, direction](const auto &from, const auto &to) {
                return (from == id && (direction & 1) != 0) || (to == id && (direction & 2) != 0);
            };
            for (auto mark = 1; mark <= 40; ++mark)
                applyNext(cluster, mark);
            cluster.run(5s);
            cluster.isCut = [](const auto &, const auto &) { return false; };
            check(cluster, 15s, "cut peer", found);
        }
    }
    return found;
}

/// The peer that announces a version first never answers, so the version must be fetched from another one.
template <typename Policy>
auto runUnresponsiveSource() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(1, 6, seed);
        cluster.hasDigests = false;
        startUp(cluster, "unresponsive source", found);
        const auto id = cluster.nodes.rbegin()->first;
        cluster.nodes[id].mayReachStore = false;
        cluster.isCut = [id](const auto &from, const auto &) { return from == id; };
        applyNext(cluster, 1);
        cluster.run(1s);
        cluster.isCut = [](const auto &, const auto &) { return false; };
        check(cluster, 15s, "unresponsive source", found);
    }
    return found;
}

/// All watches stay open but send no messages.
template <typename Policy>
auto runSilentWatch() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(2, 5, seed);
        startUp(cluster, "silent watch", found);
        cluster.isWatchSilent = true;
        applyNext(cluster, 1);
        check(cluster, 5s, "silent watch", found);
    }
    return found;
}

/// Two relays are paused, crash, or lose the store at the moment of an apply.
template <typename Policy>
auto runRelays() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        for (const auto fault : {0, 1, 2}) {
            auto cluster = FakeCluster<Policy>(2, 6, seed);
            startUp(cluster, "relays", found);
            auto faulty = std::vector<NodeId>();
            for (const auto &[id, node] : cluster.nodes) {
                if (node.state->isRelay() && faulty.size() < 2 && node.domain == "d0")
                    faulty.push_back(id);
            }
            for (const auto &it : faulty) {
                if (fault == 0)
                    cluster.pause(it);
                else if (fault == 1)
                    cluster.kill(it);
                else
                    cluster.nodes[it].mayReachStore = false;
            }
            applyNext(cluster, 1);
            cluster.run(2s);
            if (fault == 1)
                cluster.shareView();
            applyNext(cluster, 2);
            cluster.run(3s);
            for (const auto &it : faulty) {
                if (fault == 0)
                    cluster.resume(it);
            }
            check(cluster, 15s, "relays", found);
        }
    }
    return found;
}

/// A whole domain loses its connection to the store, but not to its peers.
template <typename Policy>
auto runCutDomain() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(3, 5, seed);
        startUp(cluster, "cut domain", found);
        for (auto &[id, node] : cluster.nodes)
            node.mayReachStore = node.domain != "d1";
        applyNext(cluster, 1);
        check(cluster, 5s, "cut domain", found);
    }
    return found;
}

/// Domains are cut off from each other, and all but one from the store, while versions are applied. Then the cuts end.
template <typename Policy>
auto runPartition() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(3, 4, seed);
        startUp(cluster, "partition", found);
        cluster.isCut = [](const auto &from, const auto &to) {
            return from.substr(0, 2) != to.substr(0, 2);
        };
        for (auto &[id, node] : cluster.nodes)
            node.mayReachStore = node.domain == "d0";
        for (auto mark = 1; mark <= 50; ++mark) {
            applyNext(cluster, mark);
            cluster.run(200ms);
        }
        cluster.isCut = [](const auto &, const auto &) { return false; };
        check(cluster, 15s, "partition", found);
    }
    return found;
}

/// Nodes restart without a configuration while the store is down and membership carries no digests.
template <typename Policy>
auto runRestart() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(1, 6, seed);
        startUp(cluster, "restart", found);
        cluster.isStoreDown = true;
        cluster.hasDigests = false;
        auto n = 0;
        for (const auto &[id, node] : cluster.nodes) {
            if (n++ % 2 == 0)
                cluster.start(id);
        }
        cluster.shareView();
        check(cluster, 15s, "restart", found);
    }
    return found;
}

/// The store is down when the nodes start and answers later, with a short or a long latency.
template <typename Policy>
auto runStoreOutage() -> Violations
{
    auto found = Violations();
    for (const auto latency : {Duration{3ms}, Duration{1500ms}}) {
        auto cluster = FakeCluster<Policy>(2, 4, 1);
        cluster.storeLatency = latency;
        cluster.isStoreDown = true;
        cluster.isWatchSilent = true;
        applyNext(cluster, 0);
        cluster.run(20s);
        cluster.isStoreDown = false;
        check(cluster, 40s, "store outage", found);
    }
    return found;
}

/// The store is emptied and another file is applied under a version that is in force. An alarm must be raised, and the first
/// configuration must stay in force.
template <typename Policy>
auto runTwoHashes() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(1, 5, seed);
        startUp(cluster, "two hashes", found);
        const auto first = cluster.store.head().hash;
        cluster.store.pairs.clear();
        applyNext(cluster, 7);
        cluster.run(5s);
        auto alarms = std::size_t{0};
        for (const auto &[id, node] : cluster.nodes) {
            alarms += node.alarms.size();
            if (node.state->current().hash() != first)
                found.push_back("two hashes: " + id + " replaced the first configuration");
        }
        if (alarms == 0)
            found.emplace_back("two hashes: no alarm");
        applyNext(cluster, 8);
        check(cluster, 10s, "two hashes, then a newer version", found);
    }
    return found;
}

/// Half of the nodes have another configuration under the same version. The next version must reach both halves.
template <typename Policy>
auto runFork() -> Violations
{
    auto found = Violations();
    for (const auto seed : Seeds) {
        auto cluster = FakeCluster<Policy>(2, 4, seed);
        startUp(cluster, "fork", found);
        cluster.isCut = [](const auto &from, const auto &to) {
            return from.substr(0, 2) != to.substr(0, 2);
        };
        for (auto &[id, node] : cluster.nodes)
            node.mayReachStore = node.domain == "d0";
        const auto before = cluster.store;
        applyNext(cluster, 1);
        cluster.run(3s);
        cluster.store = before;
        for (auto &[id, node] : cluster.nodes)
            node.mayReachStore = node.domain == "d1";
        applyNext(cluster, 2);
        cluster.run(3s);
        applyNext(cluster, 3);
        cluster.isCut = [](const auto &, const auto &) { return false; };
        check(cluster, 15s, "fork", found);
    }
    return found;
}

/// The store returns to an older head. An alarm must be raised, and no node may return to the older version.
template <typename Policy>
auto runStoreBehind() -> Violations
{
    auto found = Violations();
    auto cluster = FakeCluster<Policy>(1, 4, 1);
    startUp(cluster, "store behind", found);
    const auto before = cluster.store;
    applyNext(cluster, 1);
    cluster.run(2s);
    cluster.store = before;
    cluster.run(30s);
    auto alarms = std::size_t{0};
    for (const auto &[id, node] : cluster.nodes) {
        alarms += node.alarms.size();
        if (node.state->current().version() != 2)
            found.push_back("store behind: " + id + " returned to an older version");
    }
    if (alarms == 0)
        found.emplace_back("store behind: no alarm");
    checkOrder(cluster, "store behind", found);
    return found;
}

/// A peer sends sections that do not match its digest.
template <typename Policy>
auto runDamagedSections() -> Violations
{
    auto found = Violations();
    auto cluster = FakeCluster<Policy>(1, 5, 1);
    startUp(cluster, "damaged sections", found);
    auto &[id, node] = *cluster.nodes.begin();
    auto delta = ConfigDatagram{DatagramKind::Delta, digestOf(9, std::string(64, 'a')), 1, {}};
    delta.changes.changed["service/0"] = "not what was applied";
    node.state->didReceiveDatagram(cluster.nodes.rbegin()->first, encode(delta), cluster.now);
    node.state->didReceiveDatagram(cluster.nodes.rbegin()->first, "no CBOR", cluster.now);
    cluster.drain(id);
    cluster.run(3s);
    check(cluster, 1s, "damaged sections", found);
    return found;
}

} // namespace stairspur::distribution
