// Measures the membership protocol on a virtual clock: the time for detection and spreading in protocol periods, and
// the cost in bytes, processor time and memory, each against the number of members. Prints tables and slopes.
#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "../../membership/VirtualNetwork.h"

using namespace stairspur;
using namespace stairspur::membership;

using Network = VirtualNetwork<StandardPolicy>;

static constexpr auto Period = Duration{1'000'000};
static constexpr auto Step = Duration{100'000};
/// Assumed size of the IPv4 and UDP headers and of the envelope of a DatagramChannel (topic, sender, HMAC).
static constexpr auto HeaderBytes = 28.0 + 72.0;
static constexpr auto Sizes = {16, 32, 64, 128};
static constexpr auto TargetSize = 1077.0;

static auto idOf(int domain, int index) -> NodeId
{
    return "10." + std::to_string(domain) + "." + std::to_string(index / 250) + "."
           + std::to_string(index % 250 + 1) + ":7100";
}

static auto startNode(Network &network, int domain, int index) -> void
{
    auto settings = MembershipSettings();
    settings.node = idOf(domain, index);
    settings.domain = "domain-" + std::to_string(domain);
    settings.startIncarnation = 1'700'000'000'000;
    settings.seeds = {idOf(domain, 0), idOf(domain, 1), idOf(0, 0)};
    auto &state = network.start(settings);
    state.setAnnotation(std::string(24, 'a'));
    auto services = std::set<std::string>();
    for (auto service = 0; service < 40; ++service)
        services.insert("service-" + std::to_string(service));
    state.setServicesOfInterest(services);
    state.setSelf(network.now(), "service-" + std::to_string(index % 40), 100,
                  ServingState::Serving);
}

/// Returns the number of periods until `isTrue` holds for every running node, at most `limit`.
template <typename Predicate>
static auto periodsUntil(Network &network, double limit, const Predicate &isTrue) -> double
{
    const auto holds = [&] {
        for (auto &[id, node] : network.nodes()) {
            if (node.state && !isTrue(*node.state))
                return false;
        }
        return true;
    };
    const auto start = network.now();
    while (!holds() && static_cast<double>((network.now() - start) / Step) * 0.1 < limit)
        network.run(Step);
    return static_cast<double>((network.now() - start).count())
           / static_cast<double>(Period.count());
}

/// Bytes and datagrams on the wire that one node sends in a second, on average over the network.
struct Traffic
{
    double bytes = 0;
    double datagrams = 0;
};

static auto sentSoFar(Network &network) -> Traffic
{
    auto total = Traffic();
    for (auto &[id, node] : network.nodes()) {
        if (!node.state)
            continue;
        const auto &counters = node.state->counters();
        total.datagrams += static_cast<double>(counters.datagramsSent);
        total.bytes += static_cast<double>(counters.bytesSent)
                       + HeaderBytes * static_cast<double>(counters.datagramsSent);
    }
    return total;
}

static auto sentPerNode(Network &network, int periods) -> Traffic
{
    const auto before = sentSoFar(network);
    network.run(periods * Period);
    const auto after = sentSoFar(network);
    const auto share = static_cast<double>(network.nodes().size()) * periods;
    return {(after.bytes - before.bytes) / share, (after.datagrams - before.datagrams) / share};
}

struct Row
{
    double members = 0;
    double join = 0;
    double firstSuspect = 0;
    double allDead = 0;
    double change = 0;
    double drain = 0;
    double bytes = 0;
    double bytesPerChange = 0;
    double processorMicroseconds = 0;
};

static auto measureDeath(Network &network, int size, Row &row) -> void
{
    static constexpr auto Victims = 3;
    for (auto victim = 1; victim <= Victims; ++victim) {
        const auto id = idOf(0, size - victim);
        auto firstSuspect = -1.0;
        const auto start = network.now();
        network.didEmit = [&](const NodeId &, const MembershipEvent &event) {
            if (event.member.node == id && event.kind == MembershipEventKind::Suspect
                && firstSuspect < 0)
                firstSuspect = static_cast<double>((network.now() - start).count()) / 1e6;
        };
        network.kill(id);
        const auto all = periodsUntil(network, 60, [&](const auto &state) {
            const auto *member = state.find(id);
            return member == nullptr || !isPresent(*member);
        });
        network.didEmit = nullptr;
        row.firstSuspect += firstSuspect / Victims;
        row.allDead += all / Victims;
    }
}

/// Runs until no update is queued.
static auto ensureQuiet(Network &network) -> void
{
    static constexpr auto MaxPeriods = 400;
    for (auto period = 0; period < MaxPeriods; ++period) {
        auto isQuiet = true;
        for (auto &[id, node] : network.nodes())
            isQuiet = isQuiet && (!node.state || node.state->waitingUpdates() == 0);
        if (isQuiet)
            return;
        network.run(Period);
    }
    std::printf("updates are still queued after %d periods\n", MaxPeriods);
}

static auto measureSize(int size) -> Row
{
    auto row = Row();
    row.members = size;
    auto network = Network(static_cast<std::uint64_t>(size));
    for (auto index = 0; index < size; ++index)
        startNode(network, 0, index);
    const auto expected = static_cast<std::size_t>(size);
    row.join = periodsUntil(network, 100, [&](const auto &state) {
        return state.view().members.size() == expected;
    });
    ensureQuiet(network);

    const auto before = std::clock();
    static constexpr auto QuietPeriods = 20;
    row.bytes = sentPerNode(network, QuietPeriods).bytes;
    const auto seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    row.processorMicroseconds = seconds * 1e6 / QuietPeriods / size;

    const auto changed = idOf(0, size / 2);
    network.node(changed).state->setSelf(network.now(), "service-1", 77, ServingState::Serving);
    const auto hasChange = [&](const auto &state) { return state.find(changed)->slots == 77; };
    const auto atChange = sentSoFar(network).bytes;
    row.change = periodsUntil(network, 60, hasChange);
    const auto rest = 40 - static_cast<int>(row.change);
    network.run(rest * Period);
    const auto extra = sentSoFar(network).bytes - atChange - row.bytes * size * (row.change + rest);
    row.bytesPerChange = extra / size;

    const auto draining = idOf(0, size / 3);
    network.node(draining).state->setSelf(network.now(), "service-1", 100, ServingState::Draining);
    network.flush(draining);
    const auto start = network.now();
    const auto seesDraining = [&](const auto &state) {
        return state.find(draining)->state == ServingState::Draining;
    };
    auto isEverywhere = false;
    while (!isEverywhere && network.now() - start < 20 * Period) {
        network.run(Duration{1'000});
        isEverywhere = true;
        for (auto &[id, node] : network.nodes())
            isEverywhere = isEverywhere && seesDraining(*node.state);
    }
    row.drain = static_cast<double>((network.now() - start).count()) / 1e6;
    network.run(20 * Period);
    measureDeath(network, size, row);
    return row;
}

/// Least squares fit of y = a + b log2(members).
struct Line
{
    double a = 0;
    double b = 0;
};

static auto fit(const std::vector<Row> &rows, double Row::*field) -> Line
{
    auto sx = 0.0;
    auto sy = 0.0;
    auto sxx = 0.0;
    auto sxy = 0.0;
    const auto n = static_cast<double>(rows.size());
    for (const auto &it : rows) {
        const auto x = std::log2(it.members);
        sx += x;
        sy += it.*field;
        sxx += x * x;
        sxy += x * it.*field;
    }
    const auto b = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    return {(sy - b * sx) / n, b};
}

static auto printLine(const char *name, const std::vector<Row> &rows, double Row::*field) -> void
{
    const auto line = fit(rows, field);
    std::printf("%-34s %8.2f + %6.2f log2 N   -> %8.1f at N = %.0f\n", name, line.a, line.b,
                line.a + line.b * std::log2(TargetSize), TargetSize);
}

static auto measureSizes() -> void
{
    auto rows = std::vector<Row>();
    std::printf("%5s %6s %8s %8s %8s %8s %8s %8s %8s\n", "N", "join", "suspect", "all-dead",
                "change", "drain", "B/s", "B/change", "us/per.");
    for (const auto size : Sizes) {
        rows.push_back(measureSize(size));
        const auto &it = rows.back();
        std::printf("%5.0f %6.1f %8.2f %8.2f %8.2f %8.3f %8.0f %8.0f %8.0f\n", it.members, it.join,
                    it.firstSuspect, it.allDead, it.change, it.drain, it.bytes, it.bytesPerChange,
                    it.processorMicroseconds);
        std::fflush(stdout);
    }
    printLine("whole domain starts, periods", rows, &Row::join);
    printLine("first suspicion, periods", rows, &Row::firstSuspect);
    printLine("dead everywhere, periods", rows, &Row::allDead);
    printLine("changed record everywhere, periods", rows, &Row::change);
    printLine("draining everywhere, periods", rows, &Row::drain);
    printLine("quiet, bytes sent per node second", rows, &Row::bytes);
    printLine("bytes sent per node and change", rows, &Row::bytesPerChange);
    printLine("processor us per node and period", rows, &Row::processorMicroseconds);
}

/// Measures one domain of 24 nodes and twelve of 8: the bytes that a relay sends in addition to those of other nodes.
static auto measureRelays() -> void
{
    static constexpr auto Domains = 13;
    auto network = Network(5);
    for (auto domain = 0; domain < Domains; ++domain) {
        for (auto index = 0; index < (domain == 0 ? 24 : 8); ++index)
            startNode(network, domain, index);
    }
    network.run(90 * Period);
    const auto measured = [&](int index) { return network.node(idOf(0, index)).state->counters(); };
    auto before = std::vector<MembershipCounters>();
    for (auto index = 0; index < 24; ++index)
        before.push_back(measured(index));
    network.run(60 * Period);
    auto relayBytes = 0.0;
    auto otherBytes = 0.0;
    auto relays = 0;
    for (auto index = 0; index < 24; ++index) {
        const auto now = measured(index);
        const auto &old = before[static_cast<std::size_t>(index)];
        const auto bytes =
                static_cast<double>(now.bytesSent - old.bytesSent)
                + HeaderBytes * static_cast<double>(now.datagramsSent - old.datagramsSent);
        const auto isRelay = now.relayExchanges > old.relayExchanges;
        relays += isRelay ? 1 : 0;
        (isRelay ? relayBytes : otherBytes) += bytes / 60;
    }
    std::printf("13 domains: %d relays send %.0f B/s each, the other %d nodes %.0f B/s; a node "
                "has %zu members\n",
                relays, relayBytes / relays, 24 - relays, otherBytes / (24 - relays),
                network.node(idOf(0, 0)).state->view().members.size());
}

/// Measures how two halves that declared each other dead heal: the time until all members are alive everywhere, and
/// the maximum rate of bytes.
static auto measureHeal(int size) -> void
{
    auto network = Network(9);
    for (auto index = 0; index < size; ++index)
        startNode(network, 0, index);
    network.run(60 * Period);
    const auto boundary = idOf(0, 0);
    auto isLow = std::map<NodeId, bool>();
    for (auto index = 0; index < size; ++index)
        isLow[idOf(0, index)] = index < size / 2;
    network.isConnected = [&](const NodeId &a, const NodeId &b) { return isLow[a] == isLow[b]; };
    network.run(60 * Period);
    auto falseDeaths = 0;
    network.didEmit = [&](const NodeId &observer, const MembershipEvent &event) {
        if (event.kind == MembershipEventKind::Dead && isLow[observer] == isLow[event.member.node])
            ++falseDeaths;
    };
    network.isConnected = [](const NodeId &, const NodeId &) { return true; };
    auto peak = 0.0;
    auto periods = 0;
    const auto isComplete = [&](const auto &state) {
        auto alive = 0;
        for (const auto &it : state.view().members)
            alive += it.liveness == Liveness::Alive ? 1 : 0;
        return alive == size;
    };
    auto isHealed = false;
    for (; !isHealed && periods < 150; ++periods) {
        peak = std::max(peak, sentPerNode(network, 1).bytes);
        isHealed = true;
        for (auto &[id, node] : network.nodes())
            isHealed = isHealed && isComplete(*node.state);
    }
    std::printf("heal of two halves, N = %d: %s after %d periods, at most %.0f B/s per node, %d "
                "false deaths\n",
                size, isHealed ? "whole" : "NOT whole", periods, peak, falseDeaths);
}

static auto measureMemory() -> void
{
    for (const auto count : {1000, 4000, 14000}) {
        const auto before = mallinfo2().uordblks;
        auto settings = MembershipSettings();
        settings.node = "10.99.0.1:7100";
        settings.domain = "domain-0";
        auto now = TimePoint(Duration{1'000'000'000});
        auto state = std::make_unique<MembershipState>(settings, 1, now);
        auto message = Message();
        message.kind = MessageKind::Gossip;
        message.self = {idOf(0, 0), "service-1",           "domain-0", 2,
                        1,          ServingState::Serving, 100,        Liveness::Alive};
        for (auto index = 1; index <= count; ++index) {
            auto member = message.self;
            member.node = idOf(index / 5000, index % 5000);
            message.updates = {member};
            state->receive(now, message.self.node, encode(message));
            state->takeEvents();
        }
        const auto held = mallinfo2().uordblks - before;
        const auto view = std::make_shared<const MembershipView>(state->view());
        const auto withView = mallinfo2().uordblks - before;
        std::printf("memory, %5d members: %6.0f B per member with its waiting update, %6.0f B with "
                    "one view\n",
                    count, static_cast<double>(held) / count,
                    static_cast<double>(withView) / count);
    }
}

auto main() -> int
{
    measureSizes();
    measureRelays();
    for (const auto size : {16, 64, 128})
        measureHeal(size);
    measureMemory();
    return 0;
}
