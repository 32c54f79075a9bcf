#pragma once

// World's nodes: their clock ticks, their messages, their calls to the store and to backend servers.

#include "World.h"

namespace stairspur::keyed::test {

template <typename Guards>
auto World<Guards>::isolate(const NodeId &id, const std::function<bool(const NodeId &)> &isCutFrom,
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
auto World<Guards>::changeHomes() -> void
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

template <typename Guards>
auto World<Guards>::tick() -> void
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

template <typename Guards>
auto World<Guards>::listen(Node &node) -> void
{
    for (const auto &[id, other] : nodes) {
        const auto isHeard = other.domain == node.domain && other.isAlive && !other.isPaused
                             && network.reaches(node.replica.node, id);
        if (isHeard)
            node.lastHeard[id] = {other.replica.session, time.now()};
    }
}

template <typename Guards>
auto World<Guards>::view(Node &node) -> std::vector<PlacementMember>
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

template <typename Guards>
auto World<Guards>::carryOut(const NodeId &id, KeeperEffects effects) -> void
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
auto World<Guards>::transmit(const NodeId &from, Message message) -> void
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
auto World<Guards>::stepOf(const Message &message) -> std::pair<Step, std::string>
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
auto World<Guards>::deliver(const NodeId &from, const NodeId &to, const Message &message) -> void
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

template <typename Guards>
auto World<Guards>::handle(const NodeId &to, const Message &message) -> void
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
    carryOut(to, std::move(effects));
}

template <typename Guards>
auto World<Guards>::dispatch(const NodeId &id, SlotDispatch dispatch) -> void
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

template <typename Guards>
auto World<Guards>::execute(const NodeId &id, const SlotDispatch &dispatch) -> void
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

template <typename Guards>
auto World<Guards>::read(const NodeId &id) -> void
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

template <typename Guards>
auto World<Guards>::write(const NodeId &id, const TableWrite &write) -> void
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

} // namespace stairspur::keyed::test
