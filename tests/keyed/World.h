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

#include "Ledger.h"
#include "VirtualNetwork.h"
#include "VirtualStore.h"

namespace stairspur::keyed::test {

/// Where a fault can strike.
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

/// Nodes of two failure domains, entries, callers, the store and the network, in one thread under a virtual clock.
template <typename Guards>
class World
{
public:
    struct Node
    {
        Replica replica;
        std::string domain;
        bool isAlive = true;
        bool isPaused = false;
        bool isLeaving = false;
        long long skew = 0;                              ///< Milliseconds.
        std::unique_ptr<PlacementKeeper<Guards>> keeper; ///< None: an entry.
        std::deque<Action> backlog;                      ///< What arrived while it was paused.
        std::map<std::string, std::pair<Incarnation, TimePoint>> lastHeard;
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

    explicit World(std::uint64_t seed)
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
    Ledger ledger;
    std::map<NodeId, Node> nodes;
    std::uint64_t notRunPercent = 15;  ///< Of the dispatches: their upstream was busy.
    std::uint64_t longestRun = 60'000; ///< Microseconds.
    /// Called when an attempt has ended.
    std::function<void(const SeenAttempt &)> didEnd;
    /// Called when a step of a key is reached: before it, and after it.
    std::function<void(Step, const std::string &key, bool isAfter)> didReach;

    // Faults

    auto kill(const NodeId &id) -> void
    {
        auto &node = nodes[id];
        node.isAlive = false;
        node.isPaused = false;
        node.backlog.clear();
        ++m_lives[id];
    }

    auto restart(const NodeId &id) -> void
    {
        auto &node = nodes[id];
        kill(id);
        node.isAlive = true;
        node.isLeaving = false;
        node.tables = {};
        node.lastHeard.clear();
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
                 bool cutsOutgoing, bool cutsIncoming) -> void
    {
        auto others = std::vector<NodeId>{"store"};
        for (const auto &[other, node] : nodes)
            others.push_back(other);
        for (const auto &other : others) {
            if (other == id || !isCutFrom(other))
                continue;
            if (cutsOutgoing)
                network.cut(id, other);
            if (cutsIncoming)
                network.cut(other, id);
        }
    }

    /// The operators move every key without a home of its own to the other domain; nodes learn it one after another.
    auto changeHomes() -> void
    {
        for (auto &[id, node] : nodes) {
            const auto isIn = id;
            time.after(Duration(randomBelow(random, clockMargin * 900)), [this, isIn] {
                runOn(isIn, [this, isIn] {
                    auto &it = nodes[isIn];
                    it.callerHome = otherDomain;
                    if (it.keeper)
                        it.keeper->noteHomeChange(instant(it));
                });
            });
        }
    }

    // Callers

    /// Begins an attempt; it ends with an answer or at its deadline.
    auto begin(const std::string &key, std::uint64_t fingerprint, const NodeId &entry,
               Duration patience, bool isQuery = false) -> std::uint64_t
    {
        const auto id = ++m_lastAttempt;
        ledger.attempts[id] = {key, fingerprint, time.now()};
        auto &attempt = m_attempts[id];
        attempt.id = id;
        attempt.entry = entry;
        attempt.deadline = time.now() + patience;
        time.after(patience, [this, id] { end(id, unknownAnswer(), false); });
        runOn(entry, [this, id, key, fingerprint, isQuery] {
            auto &it = m_attempts[id];
            auto &node = nodes[it.entry];
            auto call =
                    KeyedCall{service, homeOf(key, node.callerHome, domains()), key, fingerprint};
            call.isHomeExplicit = explicitHomeOf(key, domains()).has_value();
            call.isQuery = isQuery;
            it.route = std::make_unique<KeyedRoute>(call, id, routeSettings(), node.tables);
            perform(id, it.route->start());
        });
        return id;
    }

    [[nodiscard]] auto hasEnded(std::uint64_t id) -> bool { return m_attempts[id].hasEnded; }
    [[nodiscard]] auto outcomeOf(std::uint64_t id) -> Outcome
    {
        return ledger.attempts[id].answer.outcome;
    }

    /// Who has the slot of `key`, as the store says.
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
        settings.forgetInterval = ms(200);
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

    /// Runs `action` in the node's process as it is now: later when that is paused, never when it is gone.
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

    auto runInLife(const NodeId &id, std::uint64_t life, Action action) -> void
    {
        if (m_lives[id] == life)
            runOn(id, std::move(action));
    }

    auto reach(Step step, const std::string &key, bool isAfter) -> void
    {
        if (didReach)
            didReach(step, key, isAfter);
    }

    // Control

    auto tick() -> void
    {
        time.after(tickInterval, [this] { tick(); });
        for (auto &[id, node] : nodes) {
            if (!node.keeper || !node.isAlive || node.isPaused)
                continue;
            listen(node);
            auto effects = KeeperEffects();
            const auto recordsBefore = node.keeper->records();
            node.keeper->tick(instant(node), view(node), effects);
            if (node.keeper->records() < recordsBefore)
                reach(Step::Forget, "", true);
            carryOut(id, std::move(effects));
            if (node.isLeaving && !node.keeper->isNeeded())
                kill(id);
        }
    }

    auto listen(Node &node) -> void
    {
        for (const auto &[id, other] : nodes) {
            const auto isHeard = other.domain == node.domain && other.isAlive && !other.isPaused
                                 && network.reaches(node.replica.node, id);
            if (isHeard)
                node.lastHeard[id] = {other.replica.session, time.now()};
        }
    }

    /// What membership tells this node.
    auto view(Node &node) -> std::vector<PlacementMember>
    {
        auto members = std::vector<PlacementMember>();
        for (const auto &[id, heard] : node.lastHeard) {
            auto member = PlacementMember{{id, heard.first}, rackOf(id)};
            member.isAlive = time.now() - heard.second <= detectionTime;
            member.isLeaving = nodes[id].isLeaving;
            members.push_back(std::move(member));
        }
        return members;
    }

    auto carryOut(const NodeId &id, KeeperEffects effects) -> void
    {
        auto &node = nodes[id];
        for (auto &it : effects.messages)
            transmit(id, std::move(it));
        for (auto &it : effects.replies) {
            auto message = Message{service,      node.domain,          0,
                                   node.replica, {it.waiter.entry, 0}, std::move(it.reply)};
            transmit(id, std::move(message));
        }
        for (auto &it : effects.dispatches)
            dispatch(id, std::move(it));
        if (effects.shouldRead)
            read(id);
        if (effects.write)
            write(id, *effects.write);
    }

    // Network

    auto transmit(const NodeId &from, Message message) -> void
    {
        const auto to = message.to.node;
        if (std::holds_alternative<SnapshotOffer>(message.body)) {
            const auto isHandOver = nodes[from].isLeaving;
            reach(isHandOver ? Step::HandOver : Step::Takeover, "", false);
        }
        for (int n = network.copies(); n > 0; --n) {
            time.after(network.delay(from, to), [this, from, to, message] {
                if (!network.passes(from, to))
                    return;
                runOn(to, [this, from, to, message] { deliver(from, to, message); });
            });
        }
    }

    auto stepOf(const Message &message) -> std::pair<Step, std::string>
    {
        if (const auto *submit = std::get_if<Submit>(&message.body)) {
            const auto isRetry = attemptsAt(submit->key) > 1;
            return {isRetry ? Step::Replay : Step::Bind, submit->key};
        }
        if (const auto *update = std::get_if<RecordUpdate>(&message.body)) {
            const auto isBinding = update->record.state == KeyState::Bound;
            return {isBinding ? Step::Record : Step::RecordOutcome, update->record.key};
        }
        if (const auto *ack = std::get_if<RecordAck>(&message.body))
            return {Step::Ack, ack->key};
        return {Step::Resolve, {}};
    }

    auto attemptsAt(const std::string &key) const -> long
    {
        return std::count_if(ledger.attempts.begin(), ledger.attempts.end(),
                             [&](const auto &it) { return it.second.key == key; });
    }

    auto deliver(const NodeId &from, const NodeId &to, const Message &message) -> void
    {
        const auto [step, key] = stepOf(message);
        if (!key.empty())
            reach(step, key, false);
        // The fault may have struck the link or the node at this very moment.
        if (!network.passes(from, to))
            return;
        runOn(to, [this, to, message] { handle(to, message); });
        if (!key.empty())
            reach(step, key, true);
    }

    auto handle(const NodeId &to, const Message &message) -> void
    {
        auto &node = nodes[to];
        if (!node.keeper)
            return handleAtEntry(node, message);
        auto effects = KeeperEffects();
        const auto *submit = std::get_if<Submit>(&message.body);
        if (submit && homeOf(submit->key, node.callerHome, domains()) != node.domain)
            node.keeper->sayHomeIsElsewhere({message.from.node, submit->waiter}, effects);
        else
            node.keeper->didReceive(message, instant(node), effects);
        carryOut(to, std::move(effects));
    }

    static auto domains() -> std::vector<std::string> { return {homeDomain, otherDomain}; }

    // Entries

    auto handleAtEntry(Node &entry, const Message &message) -> void
    {
        if (const auto *notice = std::get_if<TableNotice>(&message.body)) {
            entry.tables.merge(notice->table);
            for (auto &[id, attempt] : m_attempts) {
                if (attempt.entry == entry.replica.node && attempt.isFetching)
                    proceed(id, attempt.step, [this](auto &it) { return it.didFetch(random); });
            }
            return;
        }
        if (const auto *reply = std::get_if<Reply>(&message.body)) {
            const auto id = reply->waiter / stepsPerAttempt;
            proceed(id, reply->waiter % stepsPerAttempt,
                    [&](auto &it) { return it.didReply(*reply, random); });
        }
    }

    /// Goes on with an attempt that is still at `step`.
    template <typename Next>
    auto proceed(std::uint64_t id, std::uint64_t step, Next &&next) -> void
    {
        auto &attempt = m_attempts[id];
        if (attempt.hasEnded || attempt.step != step || time.now() >= attempt.deadline)
            return;
        perform(id, next(*attempt.route));
    }

    auto perform(std::uint64_t id, const RouteAction &action) -> void
    {
        auto &attempt = m_attempts[id];
        const auto step = ++attempt.step;
        attempt.isFetching = action.step == RouteStep::FetchTable;
        auto message = Message{service,
                               attempt.route->call().home,
                               action.slot,
                               nodes[attempt.entry].replica,
                               {action.target, 0},
                               TableRequest{}};
        const auto number = id * stepsPerAttempt + step;
        const auto key = attempt.route->call().key;
        switch (action.step) {
        case RouteStep::Finish:
            return end(id, action.answer, action.isReplay);
        case RouteStep::Wait:
            return time.after(action.delay, [this, id, step] {
                runOn(m_attempts[id].entry, [this, id, step] {
                    proceed(id, step, [](auto &it) { return it.didWait(); });
                });
            });
        case RouteStep::FetchTable:
            message.to = {someNodeOf(message.domain), 0};
            break;
        case RouteStep::SendSubmit: {
            auto submit = action.submit;
            submit.waiter = number;
            if (action.notice) {
                message.body = *action.notice;
                transmit(attempt.entry, message);
            }
            message.body = submit;
            break;
        }
        case RouteStep::SendLookup:
            message.body = Lookup{number, action.submit.key, action.submit.fingerprint};
            break;
        }
        reach(Step::Resolve, key, false);
        transmit(attempt.entry, message);
        reach(Step::Resolve, key, true);
        time.after(replyTimeout, [this, id, step, isFetch = attempt.isFetching] {
            runOn(m_attempts[id].entry, [this, id, step, isFetch] {
                proceed(id, step, [&](auto &it) {
                    return isFetch ? it.didFetch(random) : it.didLoseLink(random);
                });
            });
        });
    }

    auto someNodeOf(const std::string &domain) -> NodeId
    {
        auto ids = std::vector<NodeId>();
        for (const auto &[id, node] : nodes) {
            if (node.domain == domain && node.isAlive)
                ids.push_back(id);
        }
        return ids.empty() ? NodeId("none") : ids[randomBelow(random, ids.size())];
    }

    auto end(std::uint64_t id, const RecordedAnswer &answer, bool isReplay) -> void
    {
        auto &attempt = m_attempts[id];
        if (attempt.hasEnded)
            return;
        attempt.hasEnded = true;
        auto &seen = ledger.attempts[id];
        seen.end = time.now();
        seen.answer = answer;
        seen.isReplay = isReplay;
        if (didEnd)
            didEnd(seen);
    }

    // Backend servers

    auto dispatch(const NodeId &id, SlotDispatch dispatch) -> void
    {
        const auto key = dispatch.order.key;
        const auto life = m_lives[id];
        reach(Step::Dispatch, key, false);
        runInLife(id, life, [this, id, dispatch] {
            // Sent to some gate: from here on it goes its way without the primary.
            time.after(Duration(randomBelow(random, 3000)),
                       [this, id, dispatch] { execute(id, dispatch); });
        });
        reach(Step::Dispatch, key, true);
    }

    auto execute(const NodeId &id, const SlotDispatch &dispatch) -> void
    {
        const auto fate = randomBelow(random, 100);
        auto end = DispatchEnd();
        end.didNotRun = randomBelow(random, 100) < notRunPercent;
        if (!end.didNotRun) {
            auto run = SeenRun{dispatch.order.key, 0, time.now()};
            for (const auto &waiter : dispatch.order.waiters) {
                run.attempts.push_back(waiter.number / stepsPerAttempt);
                run.fingerprint = ledger.attempts[run.attempts.back()].fingerprint;
            }
            run.payload = "run " + std::to_string(ledger.runs.size()) + " of " + run.key;
            if (fate < 25)
                run.payload.resize(2 * maxPayload, '.');
            end.answer = {fate < 90 ? Outcome::Answered : Outcome::Failed};
            end.answer.payload = run.payload;
            if (fate >= 97)
                end.answer = unknownAnswer();
            ledger.runs.push_back(std::move(run));
        }
        const auto life = m_lives[id];
        time.after(Duration(randomBelow(random, longestRun)), [this, id, dispatch, end, life] {
            const auto key = dispatch.order.key;
            reach(Step::Answer, key, false);
            runInLife(id, life, [this, id, dispatch, end] {
                auto &node = nodes[id];
                auto effects = KeeperEffects();
                node.keeper->didEnd(dispatch.slot, dispatch.order.key, dispatch.order.bind, end,
                                    instant(node), effects);
                carryOut(id, std::move(effects));
            });
            reach(Step::Answer, key, true);
        });
    }

    // Store

    /// Sends `operation` to the store and its result back to the node, as long as that has not given it up.
    template <typename Operation, typename Report>
    auto callStore(const NodeId &id, Operation operation, Report report) -> void
    {
        const auto call = ++m_storeCalls[id];
        const auto life = m_lives[id];
        const auto answer = [this, id, call, life, report](auto result) {
            if (m_storeCalls[id] != call)
                return;
            runInLife(id, life, [this, id, call, report, result] {
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

    auto read(const NodeId &id) -> void
    {
        const auto domain = nodes[id].domain;
        callStore(
                id, [this, domain] { return store.read(domain); },
                [this](const NodeId &to, const TableRead &result) {
                    auto &node = nodes[to];
                    auto effects = KeeperEffects();
                    node.keeper->didRead(result, instant(node), view(node), effects);
                    carryOut(to, std::move(effects));
                });
    }

    auto write(const NodeId &id, const TableWrite &write) -> void
    {
        const auto domain = nodes[id].domain;
        reach(Step::CompareAndSwap, "", false);
        callStore(
                id, [this, domain, write] { return store.compareAndSwap(domain, write); },
                [this, write](const NodeId &to, WriteResult result) {
                    auto &node = nodes[to];
                    auto effects = KeeperEffects();
                    node.keeper->didWrite(result, write.revision + 1, instant(node), effects);
                    carryOut(to, std::move(effects));
                });
        reach(Step::CompareAndSwap, "", true);
    }

    static constexpr auto stepsPerAttempt = std::uint64_t{1000};
    std::map<std::uint64_t, Attempt> m_attempts;
    std::map<NodeId, std::uint64_t>
            m_lives; ///< Counts kills, so that nothing reaches a later life.
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
