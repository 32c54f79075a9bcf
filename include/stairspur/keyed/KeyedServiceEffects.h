#pragma once

// Member functions of KeyedService that apply the effects of the keepers.

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <stairspur/keyed/AnswerPayload.h>
#include <stairspur/keyed/KeyedService.h>
#include <stairspur/log/Log.h>

namespace stairspur::keyed {

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::applyEffects(const std::string &service, KeeperEffects effects)
        -> void
{
    for (const auto &it : effects.decisions)
        log(service, m_settings.domain, it);
    for (auto &it : effects.messages)
        send(std::move(it));
    for (const auto &it : effects.replies)
        deliver(service, it);
    for (auto &it : effects.dispatches)
        dispatch(service, std::move(it));
    if (effects.shouldRead)
        read(service);
    if (effects.write)
        write(service, std::move(*effects.write));
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::send(Message message) -> void
{
    auto bytes = encodeMessage(message);
    if (m_replies && message.to.node == m_requester) {
        m_replies->push_back(std::move(bytes));
        return;
    }
    auto task = [](auto *self, auto isRunning, NodeId to,
                   std::string payload) -> transport::Task<void> {
        try {
            const auto reply = co_await self->m_peers.request(to, KeyedTopic, std::move(payload),
                                                              self->m_settings.peerTimeout);
            if (!*isRunning)
                co_return;
            self->didReceiveFrom(to);
            for (const auto &it : decodeMessages(reply)) {
                auto answer = decodeMessage(it);
                answer.from.node = to;
                self->receive(answer);
            }
        } catch (const Error &e) {
            // The state machine that sent the message resends it after its own timeout.
            if (*isRunning)
                self->didFailToReach(to);
            log::Line(log::Severity::Debug, "keyed-message-lost")
                    .add("to", to)
                    .add("error", e.what());
        }
    };
    boost::asio::co_spawn(m_io, task(this, m_isRunning, message.to.node, encodeMessages({bytes})),
                          boost::asio::detached);
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::deliver(const std::string &service, const Delivery &delivery)
        -> void
{
    if (!delivery.waiter.entry.empty()) {
        auto message = Message{service,        m_settings.domain,          0,
                               m_settings.own, {delivery.waiter.entry, 0}, delivery.reply};
        return send(std::move(message));
    }
    const auto it = m_calls.find(delivery.waiter.number);
    if (it == m_calls.end())
        return;
    it->second->reply = delivery.reply;
    it->second->wakeUp.cancel();
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::dispatch(const std::string &service, SlotDispatch dispatch) -> void
{
    auto notDispatched = DispatchResult{true, {}};
    notDispatched.answer.reason = Reason::Cancelled;
    for (const auto &waiter : dispatch.order.waiters) {
        const auto it = m_calls.find(waiter.number);
        if (it == m_calls.end() || it->second->isQuery)
            continue;
        auto request = it->second->request;
        request.remaining = it->second->deadline - monotonicNow();
        if (request.remaining <= Duration(0)) {
            notDispatched.answer.reason = Reason::DeadlineExceeded;
            continue;
        }
        log::Line(log::Severity::Info, "keyed-dispatch")
                .add("service", service)
                .add("slot", dispatch.slot)
                .add("epoch", dispatch.order.bind.epoch)
                .add("sequence", dispatch.order.bind.sequence);
        auto task = [](auto *self, auto isRunning, std::string serviceName,
                       SlotDispatch slotDispatch,
                       transport::CallRequest call) -> transport::Task<void> {
            auto result = DispatchResult();
            try {
                // The call is not bound to the waiter's cancellation, so that a caller that retries finds the answer.
                const auto answer = co_await self->m_dispatch(
                        std::move(call), std::make_shared<transport::Cancellation>());
                result.didNotRun = answer.outcome == Outcome::NotRun && !answer.wasDispatched;
                result.answer = toRecordedAnswer(answer);
                if (!result.didNotRun && answer.outcome == Outcome::NotRun)
                    result.answer.outcome = Outcome::Unknown;
            } catch (const std::exception &e) {
                log::Line(log::Severity::Error, "keyed-dispatch-failed").add("error", e.what());
            }
            if (*isRunning)
                self->didEnd(serviceName, slotDispatch, result);
        };
        boost::asio::co_spawn(
                m_io, task(this, m_isRunning, service, std::move(dispatch), std::move(request)),
                boost::asio::detached);
        return;
    }
    didEnd(service, dispatch, notDispatched);
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::didEnd(const std::string &service, const SlotDispatch &dispatch,
                                        const DispatchResult &result) -> void
{
    auto effects = KeeperEffects();
    m_keepers.at(service)->didEnd(dispatch.slot, dispatch.order.key, dispatch.order.bind, result,
                                  now(), effects);
    applyEffects(service, std::move(effects));
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::read(const std::string &service) -> void
{
    auto task = [](auto *self, auto isRunning, std::string serviceName) -> transport::Task<void> {
        auto request = store::RangeRequest();
        request.key = placementKey(serviceName, self->m_settings.domain);
        const auto result = co_await self->m_store.range(std::move(request));
        if (!*isRunning)
            co_return;
        auto read = TableRead{result.isOk(), 0, {serviceName, self->m_settings.domain, {}}};
        try {
            if (result.isOk() && !result.value.pairs.empty()) {
                const auto &pair = result.value.pairs.front();
                read.revision = static_cast<std::uint64_t>(pair.modRevision);
                read.table = decodePlacementTable(pair.value);
            }
        } catch (const InputError &e) {
            read.hasSucceeded = false;
            log::Line(log::Severity::Error, "placement-table-damaged").add("error", e.what());
        }
        auto effects = KeeperEffects();
        self->m_keepers.at(serviceName)
                ->didRead(read, now(), self->membersOf(serviceName), effects);
        self->applyEffects(serviceName, std::move(effects));
    };
    boost::asio::co_spawn(m_io, task(this, m_isRunning, service), boost::asio::detached);
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::write(const std::string &service, TableWrite write) -> void
{
    auto task = [](auto *self, auto isRunning, std::string serviceName,
                   TableWrite tableWrite) -> transport::Task<void> {
        const auto key = placementKey(serviceName, self->m_settings.domain);
        auto transaction = store::Transaction();
        transaction.compares.push_back({key,
                                        store::CompareTarget::ModRevision,
                                        store::CompareOrder::Equal,
                                        static_cast<std::int64_t>(tableWrite.revision),
                                        {}});
        transaction.operations.push_back({false, key, encodePlacementTable(tableWrite.table), 0});
        const auto result = co_await self->m_store.txn(std::move(transaction));
        if (!*isRunning)
            co_return;
        const auto outcome = result.isOk() ? WriteResult::Written
                             : result.status == store::StoreStatus::CasFailed
                                     ? WriteResult::Conflict
                                     : WriteResult::Failed;
        auto effects = KeeperEffects();
        self->m_keepers.at(serviceName)
                ->didWrite(outcome, static_cast<std::uint64_t>(result.value.revision), now(),
                           effects);
        self->applyEffects(serviceName, std::move(effects));
    };
    boost::asio::co_spawn(m_io, task(this, m_isRunning, service, std::move(write)),
                          boost::asio::detached);
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::log(const std::string &service, const std::string &domain,
                                     const PlacementDecision &decision) -> void
{
    const auto isWarning =
            decision.stage == DecisionStage::Blocked || decision.stage == DecisionStage::Dropped;
    const auto &proposed = decision.change.proposed;
    log::Line(isWarning ? log::Severity::Warning : log::Severity::Info, "placement")
            .add("service", service)
            .add("domain", domain)
            .add("slot", decision.change.slot)
            .add("stage", decision.stage)
            .add("cause", decision.change.cause)
            .add("epoch", proposed.epoch)
            .add("primary", proposed.primary.node)
            .add("witness", proposed.witness.node);
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::didReceiveFrom(const NodeId &node) -> void
{
    if (m_reachability.didReceive(node))
        m_members.clear();
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::didFailToReach(const NodeId &node) -> void
{
    const auto wasUnreachable = m_reachability.isUnreachable(node);
    m_reachability.didFail(node, monotonicNow());
    if (wasUnreachable || !m_reachability.isUnreachable(node))
        return;
    log::Line(log::Severity::Info, "keyed-peer-unreachable").add("peer", node);
    m_members.clear();
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::probePrimaryOf(const Message &lookup) -> void
{
    const auto &slots = keeperOf(lookup.service).table().slots;
    if (lookup.slot >= slots.size() || slots[lookup.slot].witness != m_settings.own)
        return;
    m_reachability.requestProbe(slots[lookup.slot].primary.node, monotonicNow());
}

/// Requests the table of each node that did not answer. Every node answers that request, which shows that it is alive.
template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::probeSilentPeers() -> void
{
    if (!m_view || m_keepers.empty())
        return;
    const auto &service = m_keepers.begin()->first;
    m_reachability.retain([this](const NodeId &node) {
        const auto isSameNode = [&](const auto &member) { return member.node == node; };
        return std::ranges::any_of(m_view->members, isSameNode);
    });
    for (const auto &it : m_reachability.takeDueProbes(monotonicNow()))
        send({service, m_settings.domain, 0, m_settings.own, {it, 0}, TableRequest{}});
}

} // namespace stairspur::keyed
