#include "PeerClientLink.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/log/Log.h>

#include "CallCodec.h"
#include "LinkGuards.h"
#include <stairspur/transport/NodeAddress.h>

namespace stairspur::transport {

PeerClientLink::PeerClientLink(std::shared_ptr<PeerClientContext> context, NodeId node)
    : m_context(std::move(context))
    , m_node(std::move(node))
    , m_socket(m_context->io)
    , m_timer(m_context->io)
{}

auto PeerClientLink::start() -> void
{
    m_timer.expires_after(m_context->settings.connectTimeout);
    m_timer.async_wait([weak = weak_from_this()](auto ec) {
        if (const auto self = weak.lock(); self && !ec && self->m_state == State::Connecting)
            self->close(false, "connecting took too long");
    });
    asio::co_spawn(
            m_context->io,
            [self = shared_from_this()]() -> Task<void> { co_await self->connect(); },
            asio::detached);
}

auto PeerClientLink::connect() -> Task<void>
{
    const auto address = parseNode(m_node);
    if (!address) {
        close(false, "the node's id is no address and port");
        co_return;
    }
    const auto endpoint = asio::ip::tcp::endpoint(address->address, address->port);
    const auto [ec] =
            co_await m_socket.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (m_state != State::Connecting)
        co_return;
    if (ec) {
        close(false, ec.message());
        co_return;
    }
    m_link = std::make_shared<PeerLink>(std::move(m_socket), PeerLink::Role::Client,
                                        m_context->settings, m_context->traffic,
                                        static_cast<PeerLink::Observer &>(*this));
    m_link->start();
}

auto PeerClientLink::abort() -> void
{
    m_didClose = nullptr;
    close(false, "the client ends");
}

auto PeerClientLink::release() -> void
{
    m_isReleased = true;
    closeIfReleased();
}

auto PeerClientLink::retire() -> void
{
    for (const auto &[id, it] : m_pending) {
        if (!it->isRequest)
            continue;
        it->isCancelled = true;
        it->wakeUp();
    }
    release();
}

auto PeerClientLink::settle(CallId lastArrived) -> std::size_t
{
    m_lastArrived = lastArrived;
    auto n = std::size_t{0};
    for (const auto &[id, it] : m_pending) {
        if (id <= lastArrived || it->answer)
            continue;
        it->isUnarrived = true;
        it->wakeUp();
        ++n;
    }
    return n;
}

auto PeerClientLink::call(CallRequest request, CancellationPtr cancellation) -> Task<CallAnswer>
{
    const auto self = shared_from_this();
    const auto begin = monotonicNow();
    auto waiter = LinkWaiter(m_context->io, request.remaining);
    const auto guard = WakeUpGuard(std::move(cancellation), waiter);
    auto ending = co_await waitUntilReady(waiter);
    if (ending != Ending::Answered)
        co_return endCall(request, ending, 0);
    request.remaining -= monotonicNow() - begin;
    if (request.remaining <= Duration(0))
        co_return endCall(request, Ending::TimedOut, 0);
    auto fields = writeCall(request);
    if (fields.size() > PeerLink::MaxFieldBytes)
        co_return CallAnswer{.outcome = Outcome::NotRun,
                             .reason = Reason::TooLarge,
                             .unspentBudget = request.retryBudget};
    if (m_pending.size() >= m_context->settings.maxCallsPerLink)
        co_return CallAnswer{.outcome = Outcome::NotRun,
                             .reason = Reason::QueueFull,
                             .unspentBudget = request.retryBudget};
    const auto id = ++m_lastId;
    m_pending.emplace(id, &waiter);
    {
        const auto entry = EntryGuard(m_pending, id);
        m_link->send(FrameKind::Call, id, std::move(fields), std::move(request.body));
        ending = co_await waitForAnswer(waiter);
    }
    m_lastUsed = monotonicNow();
    auto answer = ending == Ending::Answered ? readAnswer(std::move(*waiter.answer))
                                             : endCall(request, ending, id);
    closeIfReleased();
    co_return answer;
}

auto PeerClientLink::waitUntilReady(LinkWaiter &waiter) -> Task<Ending>
{
    m_waitersForReady.insert(&waiter);
    const auto entry = EntryGuard(m_waitersForReady, &waiter);
    while (m_state == State::Connecting && !waiter.isCancelled) {
        if (co_await waiter.wait())
            co_return Ending::TimedOut;
    }
    if (waiter.isCancelled)
        co_return Ending::Cancelled;
    co_return m_state == State::Ready ? Ending::Answered : Ending::LinkLost;
}

auto PeerClientLink::waitForAnswer(LinkWaiter &waiter) -> Task<Ending>
{
    while (!waiter.answer && !waiter.isCancelled && !waiter.isUnarrived
           && m_state == State::Ready) {
        const auto isLate = co_await waiter.wait();
        if (isLate && !waiter.answer)
            co_return Ending::TimedOut;
    }
    if (waiter.answer)
        co_return Ending::Answered;
    co_return waiter.isCancelled ? Ending::Cancelled : Ending::LinkLost;
}

/// The answer of a call that has none. `id` is 0 when it was never handed to the link.
auto PeerClientLink::endCall(const CallRequest &request, Ending ending, CallId id) -> CallAnswer
{
    auto isNotRun = id == 0 || m_hasFarEndGone || (m_lastArrived && id > *m_lastArrived);
    if (id != 0 && m_link) {
        isNotRun = m_link->withdraw(FrameKind::Call, id) || isNotRun;
        m_link->forget(id);
        if (!isNotRun && ending != Ending::LinkLost)
            m_link->sendCancel(id);
    }
    const auto reason = ending == Ending::Cancelled  ? Reason::Cancelled
                        : ending == Ending::TimedOut ? Reason::DeadlineExceeded
                                                     : Reason::LinkLost;
    // What became of a lost call's budget can't be known, so that all of it counts as spent.
    return CallAnswer{.outcome = isNotRun ? Outcome::NotRun : Outcome::Unknown,
                      .reason = reason,
                      .wasDispatched = !isNotRun,
                      .unspentBudget = isNotRun ? request.retryBudget : 0};
}

auto PeerClientLink::readAnswer(LinkMessage message) -> CallAnswer
{
    try {
        if (!message.isDamaged) {
            auto answer = transport::readAnswer(message.fields);
            answer.body = std::move(message.body);
            return answer;
        }
    } catch (const InputError &) {
        // Said below.
    }
    ++m_context->traffic.damagedFrames;
    log::Line(log::Severity::Warning, "answer-damaged").add("peer", m_node).add("id", message.id);
    return CallAnswer{
            .outcome = Outcome::Unknown, .reason = Reason::DamagedAnswer, .wasDispatched = true};
}

auto PeerClientLink::request(std::string topic, std::string payload, Duration timeout)
        -> Task<std::optional<std::string>>
{
    const auto self = shared_from_this();
    auto waiter = LinkWaiter(m_context->io, timeout);
    waiter.isRequest = true;
    if (co_await waitUntilReady(waiter) != Ending::Answered)
        throw PeerError(false, "the link to " + m_node + " could not be opened",
                        "check that the node runs and is reachable");
    if (m_pending.size() >= m_context->settings.maxCallsPerLink)
        throw PeerError(false, "too many calls wait on the link to " + m_node, "ask later");
    const auto id = ++m_lastId;
    m_pending.emplace(id, &waiter);
    auto ending = Ending::LinkLost;
    {
        const auto entry = EntryGuard(m_pending, id);
        m_link->send(FrameKind::Request, id, writeRequest(topic), std::move(payload));
        m_link->verify(); // A reply takes no longer than a pong, so that silence tells something sooner than with calls.
        ending = co_await waitForAnswer(waiter);
    }
    m_lastUsed = monotonicNow();
    const auto isUnsent = m_link->withdraw(FrameKind::Request, id);
    m_link->forget(id);
    closeIfReleased();
    if (ending == Ending::Cancelled)
        co_return std::nullopt;
    if (ending != Ending::Answered)
        throw PeerError(!isUnsent, m_node + " sent no reply about '" + topic + "'",
                        "check its log, or ask later");
    if (waiter.answer->isDamaged)
        throw PeerError(true, "the reply of " + m_node + " arrived damaged", "ask again");
    if (readReply(waiter.answer->fields))
        throw PeerError(true, m_node + " says: " + waiter.answer->body, "see its log");
    co_return std::move(waiter.answer->body);
}

auto PeerClientLink::didBecomeReady() -> void
{
    const auto self = shared_from_this();
    m_state = State::Ready;
    m_timer.cancel();
    log::Line(log::Severity::Info, "link-opened").add("peer", m_node);
    for (auto *it : m_waitersForReady)
        it->wakeUp();
    if (m_didReady)
        std::exchange(m_didReady, nullptr)();
    m_lastUsed = monotonicNow();
    if (m_context->settings.idleLinkTimeout > Duration(0))
        scheduleIdleCheck(m_context->settings.idleLinkTimeout);
    closeIfReleased();
}

auto PeerClientLink::scheduleIdleCheck(Duration after) -> void
{
    m_timer.expires_after(after);
    m_timer.async_wait([weak = weak_from_this()](auto ec) {
        if (const auto self = weak.lock(); self && !ec && self->m_state == State::Ready)
            self->checkIdle();
    });
}

/// Looks when the link may have become idle, in place of setting a timer anew with each call.
auto PeerClientLink::checkIdle() -> void
{
    const auto timeout = m_context->settings.idleLinkTimeout;
    if (!isUnused()) {
        scheduleIdleCheck(timeout);
        return;
    }
    const auto idle = std::chrono::duration_cast<Duration>(monotonicNow() - m_lastUsed);
    if (idle < timeout)
        scheduleIdleCheck(timeout - idle);
    else if (m_didIdle)
        std::exchange(m_didIdle, nullptr)();
}

auto PeerClientLink::isExpected(FrameKind kind, CallId id) -> bool
{
    if (kind != FrameKind::Answer && kind != FrameKind::Reply)
        throw InputError("the listening end of a link sent a call",
                         "check that the peer runs an unchanged stairspur");
    const auto isExpected = m_pending.contains(id);
    if (!isExpected)
        ++m_context->traffic.droppedAnswers;
    return isExpected;
}

auto PeerClientLink::didReceive(LinkMessage message) -> void
{
    const auto it = m_pending.find(message.id);
    if (it == m_pending.end()) {
        ++m_context->traffic.droppedAnswers;
        return;
    }
    // A second answer to one call finds the first, and is dropped.
    if (it->second->answer) {
        ++m_context->traffic.droppedAnswers;
        return;
    }
    m_link->withdraw(FrameKind::Call, message.id);
    it->second->answer = std::move(message);
    it->second->wakeUp();
}

auto PeerClientLink::didRefuse(FrameKind kind, CallId id, Reason reason) -> void
{
    log::Line(log::Severity::Warning, "answer-refused")
            .add("peer", m_node)
            .add("id", id)
            .add("reason", reason);
    didReceive({.kind = kind, .id = id, .fields = {}, .body = {}, .isDamaged = true});
}

auto PeerClientLink::didCancel(CallId) -> void
{
    throw InputError("the listening end of a link sent a cancel",
                     "check that the peer runs an unchanged stairspur");
}

auto PeerClientLink::didFallSilent() -> void
{
    if (m_didFallSilent)
        m_didFallSilent();
}

auto PeerClientLink::verify() -> void
{
    if (m_state == State::Ready)
        m_link->verify();
}

auto PeerClientLink::didFlush() -> void {}

auto PeerClientLink::didClose(bool isGraceful, const std::string &why) -> void
{
    m_hasFarEndGone = isGraceful;
    close(isGraceful, why);
}

auto PeerClientLink::close(bool isGraceful, const std::string &why) -> void
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    const auto wasReady = std::exchange(m_state, State::Closed) == State::Ready;
    log::Line(isGraceful || m_isReleased ? log::Severity::Info : log::Severity::Warning,
              "link-lost")
            .add("peer", m_node)
            .add("ready", wasReady)
            .add("calls", m_pending.size())
            .add("detail", why);
    m_timer.cancel();
    auto ec = boost::system::error_code();
    m_socket.close(ec);
    if (m_link)
        m_link->abort();
    for (auto *it : m_waitersForReady)
        it->wakeUp();
    for (const auto &[id, it] : m_pending)
        it->wakeUp();
    const auto end = isGraceful || m_isReleased ? LinkEnd::Graceful
                     : wasReady                 ? LinkEnd::Broken
                                                : LinkEnd::NeverReady;
    if (m_didClose)
        std::exchange(m_didClose, nullptr)(end);
}

auto PeerClientLink::closeIfReleased() -> void
{
    if (m_isReleased && m_state == State::Ready && isUnused())
        m_link->close();
}

} // namespace stairspur::transport
