#pragma once

// Member functions of VirtualCluster for nodes: ticks, messages and calls to the store and to backend servers.

#include "VirtualCluster.h"

namespace stairspur::keyed::test {

template <typename Guards>
auto VirtualCluster<Guards>::isolate(const NodeId &id,
                                     const std::function<bool(const NodeId &)> &isCutFrom,
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

template <typename Guards>
auto VirtualCluster<Guards>::changeHomes() -> void
{
    for (auto &[id, node] : nodes) {
        const auto nodeId = id;
        time.after(Duration(randomBelow(random, clockMargin * 900)), [this, nodeId] {
            runOn(nodeId, [this, nodeId] {
                auto &it = nodes[nodeId];
                it.callerHome = otherDomain;
                if (it.keeper)
                    it.keeper->recordHomeChange(instant(it));
            });
        });
    }
}

template <typename Guards>
auto VirtualCluster<Guards>::tick() -> void
{
    time.after(tickInterval, [this] { tick(); });
    for (auto &[id, node] : nodes) {
        if (!node.keeper || !node.isAlive || node.isPaused)
            continue;
        updateLastSeen(node);
        auto effects = KeeperEffects();
        const auto recordsBefore = node.keeper->records();
        node.keeper->tick(instant(node), view(node), effects);
        if (node.keeper->records() < recordsBefore)
            reach(Step::Forget, "", true);
        applyEffects(id, std::move(effects));
        if (node.isLeaving && !node.keeper->isNeeded())
            kill(id);
    }
}

template <typename Guards>
auto VirtualCluster<Guards>::updateLastSeen(Node &node) -> void
{
    for (const auto &[id, other] : nodes) {
        const auto isReachable = other.domain == node.domain && other.isAlive && !other.isPaused
                                 && network.reaches(node.replica.node, id);
        if (isReachable)
            node.lastSeen[id] = {other.replica.session, time.now()};
    }
}

template <typename Guards>
auto VirtualCluster<Guards>::view(Node &node) -> std::vector<PlacementMember>
{
    auto members = std::vector<PlacementMember>();
    for (const auto &[id, seen] : node.lastSeen) {
        auto member = PlacementMember{{id, seen.first}, rackOf(id)};
        member.isAlive = time.now() - seen.second <= detectionTime;
        member.isLeaving = nodes[id].isLeaving;
        members.push_back(std::move(member));
    }
    return members;
}

template <typename Guards>
auto VirtualCluster<Guards>::applyEffects(const NodeId &id, KeeperEffects effects) -> void
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

template <typename Guards>
auto VirtualCluster<Guards>::transmit(const NodeId &from, Message message) -> void
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

template <typename Guards>
auto VirtualCluster<Guards>::stepOf(const Message &message) -> std::pair<Step, std::string>
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

template <typename Guards>
auto VirtualCluster<Guards>::deliver(const NodeId &from, const NodeId &to, const Message &message)
        -> void
{
    const auto [step, key] = stepOf(message);
    if (!key.empty())
        reach(step, key, false);
    // The fault may just have cut the link or stopped the node.
    if (!network.passes(from, to))
        return;
    runOn(to, [this, to, message] { handle(to, message); });
    if (!key.empty())
        reach(step, key, true);
}

template <typename Guards>
auto VirtualCluster<Guards>::handle(const NodeId &to, const Message &message) -> void
{
    auto &node = nodes[to];
    if (!node.keeper)
        return handleAtEntry(node, message);
    auto effects = KeeperEffects();
    const auto *submit = std::get_if<Submit>(&message.body);
    if (submit && homeOf(submit->key, node.callerHome, domains()) != node.domain)
        node.keeper->replyMoved({message.from.node, submit->waiter}, effects);
    else
        node.keeper->didReceive(message, instant(node), effects);
    applyEffects(to, std::move(effects));
}

template <typename Guards>
auto VirtualCluster<Guards>::dispatch(const NodeId &id, SlotDispatch dispatch) -> void
{
    const auto key = dispatch.order.key;
    const auto killCount = m_killCounts[id];
    reach(Step::Dispatch, key, false);
    runUnlessKilled(id, killCount, [this, id, dispatch] {
        // The call is sent to a gate and runs independently of the primary from now on.
        time.after(Duration(randomBelow(random, 3000)),
                   [this, id, dispatch] { execute(id, dispatch); });
    });
    reach(Step::Dispatch, key, true);
}

template <typename Guards>
auto VirtualCluster<Guards>::execute(const NodeId &id, const SlotDispatch &dispatch) -> void
{
    const auto outcomeChoice = randomBelow(random, 100);
    auto result = DispatchResult();
    result.didNotRun = randomBelow(random, 100) < notRunPercent;
    if (!result.didNotRun) {
        auto run = ObservedRun{dispatch.order.key, 0, time.now()};
        for (const auto &waiter : dispatch.order.waiters) {
            run.attempts.push_back(waiter.number / stepsPerAttempt);
            run.fingerprint = checker.attempts[run.attempts.back()].fingerprint;
        }
        run.payload = "run " + std::to_string(checker.runs.size()) + " of " + run.key;
        if (outcomeChoice < 25)
            run.payload.resize(2 * maxPayload, '.');
        result.answer = {outcomeChoice < 90 ? Outcome::Answered : Outcome::Failed};
        result.answer.payload = run.payload;
        if (outcomeChoice >= 97)
            result.answer = unknownAnswer();
        checker.runs.push_back(std::move(run));
    }
    const auto killCount = m_killCounts[id];
    time.after(Duration(randomBelow(random, maxRunTime)), [this, id, dispatch, result, killCount] {
        const auto key = dispatch.order.key;
        reach(Step::Answer, key, false);
        runUnlessKilled(id, killCount, [this, id, dispatch, result] {
            auto &node = nodes[id];
            auto effects = KeeperEffects();
            node.keeper->didEnd(dispatch.slot, dispatch.order.key, dispatch.order.bind, result,
                                instant(node), effects);
            applyEffects(id, std::move(effects));
        });
        reach(Step::Answer, key, true);
    });
}

template <typename Guards>
auto VirtualCluster<Guards>::read(const NodeId &id) -> void
{
    const auto domain = nodes[id].domain;
    callStore(
            id, [this, domain] { return store.read(domain); },
            [this](const NodeId &to, const TableRead &result) {
                auto &node = nodes[to];
                auto effects = KeeperEffects();
                node.keeper->didRead(result, instant(node), view(node), effects);
                applyEffects(to, std::move(effects));
            });
}

template <typename Guards>
auto VirtualCluster<Guards>::write(const NodeId &id, const TableWrite &write) -> void
{
    const auto domain = nodes[id].domain;
    reach(Step::CompareAndSwap, "", false);
    callStore(
            id, [this, domain, write] { return store.compareAndSwap(domain, write); },
            [this, write](const NodeId &to, WriteResult result) {
                auto &node = nodes[to];
                auto effects = KeeperEffects();
                node.keeper->didWrite(result, write.revision + 1, instant(node), effects);
                applyEffects(to, std::move(effects));
            });
    reach(Step::CompareAndSwap, "", true);
}

} // namespace stairspur::keyed::test
