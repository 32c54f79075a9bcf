#pragma once

// Member functions of KeyedService, to be included where it is instantiated.

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/core/Hex.h>
#include <stairspur/keyed/AnswerPayload.h>
#include <stairspur/keyed/KeyHome.h>
#include <stairspur/keyed/KeyedService.h>
#include <stairspur/keyed/KeyedServiceEffects.h>
#include <stairspur/log/Log.h>

namespace stairspur::keyed {

template <PlacementStore Store, KeyedPeers Peers>
KeyedService<Store, Peers>::KeyedService(boost::asio::io_context &io, KeyedServiceSettings settings,
                                         Store &store, Peers &peers, DispatchFunction dispatch,
                                         std::uint64_t seed)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_store(store)
    , m_peers(peers)
    , m_dispatch(std::move(dispatch))
    , m_random(seed)
    , m_timer(io)
    , m_homes(wallNow())
    , m_reachability(m_settings.reachability)

{}

template <PlacementStore Store, KeyedPeers Peers>
KeyedService<Store, Peers>::~KeyedService()
{
    stop();
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::start() -> void
{
    scheduleTick();
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::stop() -> void
{
    *m_isRunning = false;
    m_timer.cancel();
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::now() -> Instant
{
    return {monotonicNow(), wallNow()};
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::scheduleTick() -> void
{
    m_timer.expires_after(m_settings.tickInterval);
    m_timer.async_wait([this, isRunning = m_isRunning](const boost::system::error_code &ec) {
        if (ec || !*isRunning)
            return;
        tick();
        scheduleTick();
    });
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::tick() -> void
{
    ensureOwnKeeper();
    probeSilentPeers();
    for (auto &[service, keeper] : m_keepers) {
        auto effects = KeeperEffects();
        keeper->tick(now(), membersOf(service), effects);
        applyEffects(service, std::move(effects));
    }
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::setMembers(std::shared_ptr<const membership::MembershipView> view)
        -> void
{
    m_view = std::move(view);
    m_members.clear();
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::confirmGone(const NodeId &node) -> void
{
    log::Line(log::Severity::Warning, "node-confirmed-gone").add("gone", node);
    m_confirmedGone.insert(node);
    m_members.clear();
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::setConfiguration(config::ConfigurationPtr configuration) -> void
{
    m_configuration = std::move(configuration);
    if (!m_configuration || !m_homes.adopt(m_configuration->configuration, wallNow()))
        return;
    log::Line(log::Severity::Warning, "key-homes-changed").add("version", m_configuration->version);
    for (auto &[service, keeper] : m_keepers)
        keeper->recordHomeChange(now());
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::ensureOwnKeeper() -> void
{
    if (!m_view || !m_configuration)
        return;
    for (const auto &it : m_view->members) {
        if (it.node != m_settings.own.node)
            continue;
        const auto *service = m_configuration->configuration.findService(it.service);
        if (service && !service->isIdempotent)
            keeperOf(it.service);
    }
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::keeperOf(const std::string &service) -> Keeper &
{
    const auto it = m_keepers.find(service);
    if (it != m_keepers.end())
        return *it->second;
    const auto *configured =
            m_configuration ? m_configuration->configuration.findService(service) : nullptr;
    if (!configured)
        throw InputError("service " + service
                                 + " is not in the configuration in force on this node",
                         "wait until this node has received the newest configuration");
    auto settings = m_settings.keeper;
    settings.slot.records.keyLifetime =
            static_cast<WallMilliseconds>(toMilliseconds(configured->keyLifetime));
    auto keeper = std::make_unique<Keeper>(m_settings.own, service, m_settings.domain, settings,
                                           m_random());
    return *m_keepers.emplace(service, std::move(keeper)).first->second;
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::membersOf(const std::string &service)
        -> const std::vector<PlacementMember> &
{
    const auto [cached, isNew] = m_members.try_emplace(service);
    auto &members = cached->second;
    if (!isNew || !m_view)
        return members;
    for (const auto &it : m_view->members) {
        if (it.domain != m_settings.domain)
            continue;
        auto member = PlacementMember{{it.node, it.startIncarnation}, rackOf(it.node)};
        member.isOfService = it.service == service;
        member.isAlive =
                it.liveness != membership::Liveness::Dead && !m_reachability.isUnreachable(it.node);
        member.isLeaving = it.state == membership::ServingState::Draining
                           || it.state == membership::ServingState::Left;
        member.isConfirmedGone = m_confirmedGone.contains(it.node);
        members.push_back(std::move(member));
    }
    return members;
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::handle(transport::CallRequest request,
                                        transport::CancellationPtr cancellation)
        -> transport::Task<transport::CallAnswer>
{
    auto message = Message();
    try {
        message = decodeMessage(fromHex(request.headers.find(KeyedHeader)));
        keeperOf(message.service);
    } catch (const InputError &e) {
        log::Line(log::Severity::Warning, "keyed-call-unreadable").add("error", e.what());
        auto refusal = transport::CallAnswer();
        refusal.reason = Reason::WrongPlacement;
        co_return refusal;
    }
    request.headers.remove(KeyedHeader);
    const auto number = ++m_lastCall;
    const auto deadline = monotonicNow() + request.remaining;
    auto call = std::make_shared<Call>(m_io, std::move(request), deadline);
    m_calls.emplace(number, call);
    co_return co_await waitForReply(call, number, std::move(message), std::move(cancellation));
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::waitForReply(std::shared_ptr<Call> call, std::uint64_t number,
                                              Message message,
                                              transport::CancellationPtr cancellation)
        -> transport::Task<transport::CallAnswer>
{
    const auto isRunning = m_isRunning;
    const auto retryAfter = m_settings.keeper.slot.retryAfter;
    if (cancellation)
        cancellation->onCancel([call] { call->wakeUp.cancel(); });
    submit(message, *call, number);
    auto ec = boost::system::error_code();
    const auto isCancelled = cancellation && cancellation->isCancelled();
    if (!call->reply && !isCancelled)
        co_await call->wakeUp.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (cancellation)
        cancellation->onCancel(nullptr);

    auto reply = call->reply.value_or(Reply{number});
    if (*isRunning) {
        m_calls.erase(number);
        if (!call->reply)
            m_keepers.at(message.service)->cancel(message.slot, {{}, number});
    }
    if (!call->reply) {
        reply.answer.reason = Reason::KeyInProgress;
        reply.retryAfter = retryAfter;
    }
    auto answer = transport::CallAnswer();
    try {
        answer = toCallAnswer(reply.answer);
    } catch (const InputError &e) {
        log::Line(log::Severity::Error, "keyed-record-damaged").add("error", e.what());
        answer.reason = Reason::DamagedAnswer;
    }
    answer.retryAfter = reply.retryAfter;
    reply.answer.payload.clear();
    message.body = std::move(reply);
    answer.headers.set(std::string(KeyedHeader), toHex(encodeMessage(message)));
    co_return answer;
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::submit(const Message &message, Call &call, std::uint64_t number)
        -> void
{
    auto &keeper = keeperOf(message.service);
    auto effects = KeeperEffects();
    const auto waiter = Waiter{{}, number};
    const auto *received = std::get_if<Submit>(&message.body);
    const auto &key = call.request.idempotencyKey;
    const auto &caller = call.request.caller;
    const auto &domains = m_homes.domains();
    const auto isHome = received && !domains.empty()
                        && homeOf(key, m_homes.homeOfCaller(caller), domains) == m_settings.domain
                        && received->key == scopedKey(caller, key);
    if (!isHome) {
        keeper.replyMoved(waiter, effects);
        return applyEffects(message.service, std::move(effects));
    }
    auto submit = *received;
    call.isQuery = submit.isQuery;
    submit.isHomeExplicit = explicitHomeOf(key, domains).has_value()
                            || m_homes.isSettled(caller, wallNow(), m_settings.keeper.slot.records);
    keeper.submit(message.slot, waiter, submit, now(), effects);
    applyEffects(message.service, std::move(effects));
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::handleRequest(NodeId from, std::string payload)
        -> transport::Task<std::string>
{
    auto replies = std::vector<std::string>();
    const auto messages = decodeMessages(payload);
    m_replies = &replies;
    m_requester = from;
    try {
        for (const auto &it : messages) {
            auto message = decodeMessage(it);
            message.from.node = from; // The link authenticates its remote node.
            didReceiveFrom(from);
            receive(message);
        }
    } catch (...) {
        m_replies = nullptr;
        throw;
    }
    m_replies = nullptr;
    co_return encodeMessages(replies);
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::receive(const Message &message) -> void
{
    auto effects = KeeperEffects();
    // A Submit arrives only as a call together with its request, see handle().
    if (message.domain != m_settings.domain || std::holds_alternative<Submit>(message.body))
        return;
    if (std::holds_alternative<Lookup>(message.body))
        probePrimaryOf(message);
    keeperOf(message.service).didReceive(message, now(), effects);
    applyEffects(message.service, std::move(effects));
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::isDrained() const -> bool
{
    return m_calls.empty()
           && std::none_of(m_keepers.begin(), m_keepers.end(),
                           [](const auto &entry) { return entry.second->isNeeded(); });
}

template <PlacementStore Store, KeyedPeers Peers>
auto KeyedService<Store, Peers>::records() const -> std::size_t
{
    auto n = std::size_t{0};
    for (const auto &[service, keeper] : m_keepers)
        n += keeper->records();
    return n;
}

} // namespace stairspur::keyed
