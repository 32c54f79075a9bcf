#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <stairspur/keyed/KeyHome.h>
#include <stairspur/keyed/KeyedRoute.h>
#include <stairspur/keyed/PlacementKeeperCode.h>

#include "InvariantChecker.h"
#include "VirtualNetwork.h"
#include "VirtualStore.h"

namespace stairspur::keyed::test {

/// A step of a keyed call or of a change of placement at which a fault can be injected.
enum class Step {
    Resolve,
    Bind,
    Record,
    Ack,
    Dispatch,
    Answer,
    RecordOutcome,
    Replay,
    Takeover,
    CompareAndSwap,
    HandOver,
    Forget,
};

inline constexpr auto service = "order-intake";
inline constexpr auto homeDomain = "centre";
inline constexpr auto otherDomain = "domzale";
inline constexpr auto wallStart = WallMilliseconds{1'700'000'000'000};
inline constexpr auto keyLifetime = WallMilliseconds{3'000};
inline constexpr auto clockMargin = WallMilliseconds{60};
inline constexpr auto tickInterval = ms(40);
inline constexpr auto detectionTime = ms(250);
inline constexpr auto replyTimeout = ms(250);
inline constexpr auto storeTimeout = ms(300);
inline constexpr auto maxPayload = std::size_t{64};

/// Nodes of two failure domains, entries, callers, the store and the network, run in one thread with a virtual clock.
template <typename Guards>
class VirtualCluster
{
public:
    struct Node
    {
        Replica replica;
        std::string domain;
        bool isAlive = true;
        bool isPaused = false;
        bool isLeaving = false;
        long long skew = 0; ///< Offset of the node's wall clock in milliseconds.
        std::unique_ptr<PlacementKeeper<Guards>> keeper; ///< Null for an entry.
        std::deque<Action> backlog; ///< Actions that arrived while the node was paused.
        std::map<std::string, std::pair<Incarnation, TimePoint>> lastSeen;
        TableCache tables;
        std::string callerHome = homeDomain;
    };

    struct Attempt
    {
        std::uint64_t id = 0;
        NodeId entry;
        TimePoint deadline;
        std::uint64_t step = 0;
        bool hasEnded = false;
        bool isFetching = false;
        std::unique_ptr<KeyedRoute> route;
    };

    explicit VirtualCluster(std::uint64_t seed)
        : random(seed)
        , network(random)
    {
        for (const auto *it : {"10.0.1.1:7100", "10.0.2.1:7100", "10.0.3.1:7100", "10.0.6.1:7100"})
            addNode(it, homeDomain);
        for (const auto *it : {"10.0.4.1:7100", "10.0.5.1:7100"})
            addNode(it, otherDomain);
        for (const auto *it : {"entry-1", "entry-2", "entry-3"})
            nodes[it].replica = {it, 1};
        time.after(tickInterval, [this] { tick(); });
    }

    Random random;
    VirtualTime time;
    VirtualNetwork network;
    VirtualStore store;
    InvariantChecker checker;
    std::map<NodeId, Node> nodes;
    std::uint64_t notRunPercent = 15;  ///< Share of the dispatches whose backend server is busy.
    std::uint64_t maxRunTime = 60'000; ///< Maximum run time in microseconds.
    /// Callback when an attempt has ended.
    std::function<void(const ObservedAttempt &)> didEnd;
    /// Callback before and after each step of a key.
    std::function<void(Step, const std::string &key, bool isAfter)> didReach;

    // Faults

    auto kill(const NodeId &id) -> void
    {
        auto &node = nodes[id];
        node.isAlive = false;
        node.isPaused = false;
        node.backlog.clear();
        ++m_killCounts[id];
    }

    auto restart(const NodeId &id) -> void
    {
        auto &node = nodes[id];
        kill(id);
        node.isAlive = true;
        node.isLeaving = false;
        node.tables = {};
        node.lastSeen.clear();
        if (Guards::RestartChangesSession)
            ++node.replica.session;
        if (!node.domain.empty())
            node.keeper = makeKeeper(node);
    }

    auto pause(const NodeId &id) -> void { nodes[id].isPaused = nodes[id].isAlive; }

    auto resume(const NodeId &id) -> void
    {
        auto &node = nodes[id];
        node.isPaused = false;
        auto backlog = std::exchange(node.backlog, {});
        for (auto &it : backlog)
            it();
    }

    auto isolate(const NodeId &id, const std::function<bool(const NodeId &)> &isCutFrom,
                 bool cutsOutgoing, bool cutsIncoming) -> void;

    /// Moves the home of every key without an explicit home to the other domain. The nodes receive the change one after
    /// another.
    auto changeHomes() -> void;

    // Callers

    /// Begins an attempt, which ends with an answer or at its deadline.
    auto begin(const std::string &key, std::uint64_t fingerprint, const NodeId &entry,
               Duration timeout, bool isQuery = false) -> std::uint64_t;

    [[nodiscard]] auto hasEnded(std::uint64_t id) -> bool { return m_attempts[id].hasEnded; }
    [[nodiscard]] auto outcomeOf(std::uint64_t id) -> Outcome
    {
        return checker.attempts[id].answer.outcome;
    }

    /// Returns the placement of the slot of `key` in the store.
    [[nodiscard]] auto placementOf(const std::string &key) -> SlotPlacement
    {
        const auto &table = store.values[homeDomain].table;
        if (table.slots.empty())
            return {};
        const auto n = static_cast<std::uint32_t>(table.slots.size());
        return table.slots[slotOf(service, key, n)];
    }

    auto wallOf(const Node &node) -> WallMilliseconds
    {
        return wallStart
               + static_cast<WallMilliseconds>(toMilliseconds(time.now().time_since_epoch())
                                               + node.skew);
    }

private:
    auto instant(const Node &node) -> Instant { return {time.now(), wallOf(node)}; }

    static auto unknownAnswer() -> RecordedAnswer { return {Outcome::Unknown}; }

    static auto routeSettings() -> RouteSettings { return {24, ms(60), ms(100)}; }

    static auto keeperSettings() -> KeeperSettings
    {
        auto settings = KeeperSettings();
        settings.slot.records = {keyLifetime, clockMargin, 64, maxPayload};
        settings.slot.resendInterval = ms(80);
        settings.slot.ackTimeout = ms(300);
        settings.placement.slotsPerNode = 1;
        settings.batchWindow = ms(30);
        settings.offerTimeout = ms(300);
        settings.storeBackoff = ms(60);
        settings.planInterval = ms(40);
        settings.expiryInterval = ms(200);
        return settings;
    }

    auto makeKeeper(const Node &node) -> std::unique_ptr<PlacementKeeper<Guards>>
    {
        return std::make_unique<PlacementKeeper<Guards>>(node.replica, service, node.domain,
                                                         keeperSettings(), random());
    }

    auto addNode(const NodeId &id, const std::string &domain) -> void
    {
        auto &node = nodes[id];
        node.replica = {id, 1};
        node.domain = domain;
        node.skew = static_cast<long long>(randomBelow(random, clockMargin))
                    - static_cast<long long>(clockMargin / 2);
        node.keeper = makeKeeper(node);
    }

    /// Runs `action` in the node's current process: after the pause if it is paused, never if it has been killed.
    auto runOn(const NodeId &id, Action action) -> void
    {
        auto &node = nodes[id];
        if (!node.isAlive)
            return;
        if (node.isPaused) {
            node.backlog.push_back(std::move(action));
            return;
        }
        action();
    }

    /// Runs `action` unless the node has been killed since its kill count was `killCount`.
    auto runUnlessKilled(const NodeId &id, std::uint64_t killCount, Action action) -> void
    {
        if (m_killCounts[id] == killCount)
            runOn(id, std::move(action));
    }

    auto reach(Step step, const std::string &key, bool isAfter) -> void
    {
        if (didReach)
            didReach(step, key, isAfter);
    }

    // Control

    auto tick() -> void;

    auto updateLastSeen(Node &node) -> void;

    /// Returns the members as membership reports them to this node.
    auto view(Node &node) -> std::vector<PlacementMember>;

    auto applyEffects(const NodeId &id, KeeperEffects effects) -> void;

    // Network

    auto transmit(const NodeId &from, Message message) -> void;

    auto stepOf(const Message &message) -> std::pair<Step, std::string>;

    auto attemptsAt(const std::string &key) const -> long
    {
        return std::count_if(checker.attempts.begin(), checker.attempts.end(),
                             [&](const auto &it) { return it.second.key == key; });
    }

    auto deliver(const NodeId &from, const NodeId &to, const Message &message) -> void;

    auto handle(const NodeId &to, const Message &message) -> void;

    static auto domains() -> std::vector<std::string> { return {homeDomain, otherDomain}; }

    // Entries

    auto handleAtEntry(Node &entry, const Message &message) -> void;

    /// Continues an attempt that is still at `step`.
    template <typename Next>
    auto proceed(std::uint64_t id, std::uint64_t step, Next &&next) -> void
    {
        auto &attempt = m_attempts[id];
        if (attempt.hasEnded || attempt.step != step || time.now() >= attempt.deadline)
            return;
        perform(id, next(*attempt.route));
    }

    auto perform(std::uint64_t id, const RouteAction &action) -> void;

    auto pickNode(const std::string &domain) -> NodeId;

    auto end(std::uint64_t id, const RecordedAnswer &answer, bool isReplay) -> void;

    // Backend servers

    auto dispatch(const NodeId &id, SlotDispatch dispatch) -> void;

    auto execute(const NodeId &id, const SlotDispatch &dispatch) -> void;

    // Store

    /// Sends `operation` to the store and reports its result to the node unless the node has abandoned the call.
    template <typename Operation, typename Report>
    auto callStore(const NodeId &id, Operation operation, Report report) -> void
    {
        const auto call = ++m_storeCalls[id];
        const auto killCount = m_killCounts[id];
        const auto answer = [this, id, call, killCount, report](auto result) {
            if (m_storeCalls[id] != call)
                return;
            runUnlessKilled(id, killCount, [this, id, call, report, result] {
                if (m_storeCalls[id]++ == call)
                    report(id, result);
            });
        };
        const auto storeDelay = [this] {
            return Duration(1000 + randomBelow(random, store.isSlow ? 900'000 : 3000));
        };
        time.after(storeDelay(), [this, id, operation, answer, storeDelay] {
            if (store.isDown || !network.passes(id, "store"))
                return;
            const auto result = operation();
            if (store.losesAnswers || !network.passes("store", id))
                return;
            time.after(storeDelay(), [answer, result] { answer(result); });
        });
        using Result = decltype(operation());
        time.after(storeTimeout, [answer] { answer(static_cast<Result>(Failure())); });
    }

    struct Failure
    {
        operator TableRead() const { return {}; }
        operator WriteResult() const { return WriteResult::Failed; }
    };

    auto read(const NodeId &id) -> void;

    auto write(const NodeId &id, const TableWrite &write) -> void;

    static constexpr auto stepsPerAttempt = std::uint64_t{1000};
    std::map<std::uint64_t, Attempt> m_attempts;
    /// Number of kills of each node, so that no action reaches a later process instance.
    std::map<NodeId, std::uint64_t> m_killCounts;
    std::map<NodeId, std::uint64_t> m_storeCalls;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace stairspur::keyed::test

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::test::Step> =
        std::array<std::string_view, 12>{
                "resolve",   "bind",           "record", "ack",      "dispatch",
                "answer",    "record-outcome", "replay", "takeover", "compare-and-swap",
                "hand-over", "forget"};
