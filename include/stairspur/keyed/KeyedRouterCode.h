#pragma once

// Member functions of KeyedRouter, to be included where it is instantiated.

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/core/Hex.h>
#include <stairspur/keyed/AnswerPayload.h>
#include <stairspur/keyed/KeyHome.h>
#include <stairspur/keyed/KeyedRouter.h>
#include <stairspur/log/Log.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::keyed {

template <KeyedPeers Peers>
KeyedRouter<Peers>::KeyedRouter(boost::asio::io_context &io, KeyedRouterSettings settings,
                                Peers &peers, std::uint64_t seed)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_peers(peers)
    , m_random(seed)
    , m_homes(wallNow())
{}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::setMembers(std::shared_ptr<const membership::MembershipView> view) -> void
{
    m_view = std::move(view);
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::setConfiguration(config::ConfigurationPtr configuration) -> void
{
    if (configuration)
        m_homes.adopt(configuration->configuration, wallNow());
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::callOf(const transport::CallRequest &request, bool isQuery) const
        -> KeyedCall
{
    auto call = KeyedCall{request.service};
    call.home =
            homeOf(request.idempotencyKey, m_homes.homeOfCaller(request.caller), m_homes.domains());
    call.key = scopedKey(request.caller, request.idempotencyKey);
    call.fingerprint = fingerprintOf(request);
    call.isQuery = isQuery;
    return call;
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::resolve(const std::string &service, const std::string &key,
                                 const std::string &caller) const -> NodeId
{
    if (m_homes.domains().empty())
        return {};
    const auto home = homeOf(key, m_homes.homeOfCaller(caller), m_homes.domains());
    const auto *table = m_tables.find(service, home);
    if (!table)
        return {};
    const auto n = static_cast<std::uint32_t>(table->slots.size());
    return table->slots[slotOf(service, scopedKey(caller, key), n)].primary.node;
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::route(transport::CallRequest request,
                               transport::CancellationPtr cancellation, bool isQuery)
        -> transport::Task<transport::CallAnswer>
{
    if (m_homes.domains().empty()) {
        auto refusal = transport::CallAnswer();
        refusal.reason = Reason::NoConfiguration;
        co_return refusal;
    }
    auto call = callOf(request, isQuery);
    if (isQuery)
        request.body.clear();
    const auto deadline = monotonicNow() + request.remaining;
    auto routed =
            RoutedCall{std::move(request), std::move(cancellation), deadline,
                       KeyedRoute(std::move(call), ++m_lastWaiter, m_settings.route, m_tables)};
    auto action = routed.route.start();
    while (action.step != RouteStep::Finish) {
        // No step may follow the deadline or the caller's cancellation, since a later `not-run` relies on that.
        if (routed.cancellation && routed.cancellation->isCancelled())
            action = routed.route.giveUp(Reason::Cancelled);
        else if (monotonicNow() >= routed.deadline)
            action = routed.route.giveUp(Reason::DeadlineExceeded);
        else if (action.step == RouteStep::SendSubmit)
            action = co_await submit(routed, std::move(action));
        else if (action.step == RouteStep::SendLookup)
            action = co_await lookUp(routed, std::move(action));
        else if (action.step == RouteStep::FetchTable)
            action = co_await fetch(routed);
        else
            action = co_await pause(routed, action.delay);
    }
    co_return finish(routed, action);
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::messageFor(const RoutedCall &routed, const RouteAction &action,
                                    MessageBody body) const -> Message
{
    const auto &call = routed.route.call();
    return {call.service,   call.home,          action.slot,
            m_settings.own, {action.target, 0}, std::move(body)};
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::submit(RoutedCall &routed, RouteAction action)
        -> transport::Task<RouteAction>
{
    if (action.notice)
        co_await query(action.target, messageFor(routed, action, *action.notice),
                       m_settings.peerTimeout);
    auto request = routed.request;
    request.remaining = routed.deadline - monotonicNow();
    request.headers.set(std::string(KeyedHeader),
                        toHex(encodeMessage(messageFor(routed, action, action.submit))));
    log::Line(log::Severity::Info, "keyed-route")
            .add("service", request.service)
            .add("home", routed.route.call().home)
            .add("slot", action.slot)
            .add("epoch", action.submit.epoch)
            .add("to", action.target);
    auto answer = co_await m_peers.call(action.target, std::move(request), routed.cancellation);
    auto header = std::string(answer.headers.find(KeyedHeader));
    answer.headers.remove(KeyedHeader);
    routed.lastAnswer = std::move(answer);
    if (header.empty())
        co_return routed.route.didLoseLink(m_random);
    try {
        const auto message = decodeMessage(fromHex(header));
        co_return routed.route.didReply(std::get<Reply>(message.body), m_random);
    } catch (const std::exception &e) {
        log::Line(log::Severity::Warning, "keyed-reply-unreadable").add("error", e.what());
    }
    co_return routed.route.didLoseLink(m_random);
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::lookUp(RoutedCall &routed, RouteAction action)
        -> transport::Task<RouteAction>
{
    const auto &submit = action.submit;
    const auto lookup = Lookup{submit.waiter, submit.key, submit.fingerprint};
    const auto remaining = std::min(m_settings.peerTimeout, routed.deadline - monotonicNow());
    const auto messages =
            co_await query(action.target, messageFor(routed, action, lookup), remaining);
    for (const auto &it : messages) {
        const auto *reply = std::get_if<Reply>(&it.body);
        if (!reply)
            continue;
        try {
            routed.lastAnswer = toCallAnswer(reply->answer);
            co_return routed.route.didReply(*reply, m_random);
        } catch (const InputError &e) {
            log::Line(log::Severity::Error, "keyed-record-damaged").add("error", e.what());
        }
    }
    co_return routed.route.didLoseLink(m_random);
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::fetch(RoutedCall &routed) -> transport::Task<RouteAction>
{
    auto action = RouteAction();
    const auto &call = routed.route.call();
    action.target = pickNode(call.service, call.home);
    if (!action.target.empty()) {
        const auto remaining = std::min(m_settings.peerTimeout, routed.deadline - monotonicNow());
        const auto messages = co_await query(action.target,
                                             messageFor(routed, action, TableRequest{}), remaining);
        for (const auto &it : messages) {
            const auto *notice = std::get_if<TableNotice>(&it.body);
            if (notice && !notice->table.slots.empty())
                m_tables.merge(notice->table);
        }
    }
    co_return routed.route.didFetch(m_random);
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::pause(RoutedCall &routed, Duration delay) -> transport::Task<RouteAction>
{
    auto ec = boost::system::error_code();
    auto timer = transport::Timer(m_io);
    timer.expires_at(std::min(monotonicNow() + delay, routed.deadline));
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    co_return routed.route.didWait();
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::query(NodeId to, Message message, Duration timeout)
        -> transport::Task<std::vector<Message>>
{
    auto messages = std::vector<Message>();
    try {
        const auto reply = co_await m_peers.request(
                to, KeyedTopic, encodeMessages({encodeMessage(message)}), timeout);
        for (const auto &it : decodeMessages(reply))
            messages.push_back(decodeMessage(it));
    } catch (const Error &e) {
        log::Line(log::Severity::Debug, "keyed-message-lost").add("to", to).add("error", e.what());
    }
    co_return messages;
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::pickNode(const std::string &service, const std::string &domain) -> NodeId
{
    auto nodes = std::vector<NodeId>();
    if (!m_view)
        return {};
    for (const auto &it : m_view->members) {
        const auto isCandidate = it.service == service && it.domain == domain
                                 && it.liveness == membership::Liveness::Alive;
        if (isCandidate)
            nodes.push_back(it.node);
    }
    return nodes.empty() ? NodeId() : nodes[randomBelow(m_random, nodes.size())];
}

template <KeyedPeers Peers>
auto KeyedRouter<Peers>::finish(RoutedCall &routed, const RouteAction &action)
        -> transport::CallAnswer
{
    const auto isComplete =
            action.answer.outcome == Outcome::Answered || action.answer.outcome == Outcome::Failed;
    auto answer = transport::CallAnswer();
    if (isComplete && action.answer.isPayloadKept) {
        answer = std::move(routed.lastAnswer);
    } else {
        auto recorded = action.answer;
        recorded.payload.clear();
        answer = toCallAnswer(recorded);
    }
    answer.retryAfter = action.retryAfter;
    log::Line(log::Severity::Info, "keyed-answer")
            .add("service", routed.route.call().service)
            .add("outcome", answer.outcome)
            .add("reason", answer.reason)
            .add("replay", action.isReplay);
    return answer;
}

} // namespace stairspur::keyed
