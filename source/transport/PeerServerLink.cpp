#include "PeerServerLink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

#include "CallCodec.h"

namespace stairspur::transport {

PeerServerLink::PeerServerLink(asio::ip::tcp::socket socket,
                               std::shared_ptr<PeerServerContext> context)
    : m_context(std::move(context))
    , m_link(std::make_shared<PeerLink>(std::move(socket), PeerLink::Role::Server,
                                        m_context->settings, m_context->traffic,
                                        static_cast<PeerLink::Observer &>(*this)))
{}

auto PeerServerLink::start() -> void
{
    m_link->start();
}

auto PeerServerLink::drain() -> void
{
    m_isDraining = true;
    closeIfDrained();
}

auto PeerServerLink::abort() -> void
{
    m_isClosed = true;
    m_link->abort();
    cancelAll();
}

auto PeerServerLink::didBecomeReady() -> void
{
    const auto self = shared_from_this();
    log::Line(log::Severity::Info, "link-accepted")
            .add("peer", m_link->farNode())
            .add("remote", m_link->remoteAddress());
    closeIfDrained();
}

auto PeerServerLink::isExpected(FrameKind kind, CallId id) -> bool
{
    if ((kind != FrameKind::Call && kind != FrameKind::Request) || id <= m_lastId)
        throw InputError("a call has an id that was used before, or is an answer",
                         "check that the peer runs an unchanged stairspur");
    if (m_isFenced)
        return false;
    m_lastId = id;
    return true;
}

auto PeerServerLink::didReceive(LinkMessage message) -> void
{
    const auto self = shared_from_this();
    if (message.kind == FrameKind::Call)
        beginCall(std::move(message));
    else
        beginRequest(std::move(message));
}

auto PeerServerLink::didRefuse(FrameKind kind, CallId id, Reason reason) -> void
{
    const auto self = shared_from_this();
    if (kind == FrameKind::Call)
        refuse(id, reason);
    else
        reply(id, true,
              "the request is refused (" + std::string(nameOf(reason))
                      + "); send a smaller one, or send it later");
}

auto PeerServerLink::didCancel(CallId id) -> void
{
    const auto self = shared_from_this();
    m_link->forget(id);
    m_link->withdraw(FrameKind::Answer, id);
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    // Nobody waits for the answer, so the handler's end finds nothing to send it to.
    const auto cancellation = std::move(it->second);
    m_running.erase(it);
    cancellation->cancel();
    closeIfDrained();
}

auto PeerServerLink::didFlush() -> void
{
    const auto self = shared_from_this();
    closeIfDrained();
}

auto PeerServerLink::didClose(bool isGraceful, const std::string &why) -> void
{
    const auto self = shared_from_this();
    m_isClosed = true;
    log::Line(isGraceful || m_isDraining ? log::Severity::Info : log::Severity::Warning,
              "link-closed")
            .add("peer", m_link->farNode())
            .add("remote", m_link->remoteAddress())
            .add("calls", m_running.size())
            .add("detail", why);
    cancelAll();
    m_context->didEnd(this);
}

auto PeerServerLink::beginCall(LinkMessage message) -> void
{
    if (message.isDamaged) {
        ++m_context->traffic.damagedFrames;
        log::Line(log::Severity::Warning, "call-damaged").add("peer", m_link->farNode());
        refuse(message.id, Reason::DamagedAnswer);
        return;
    }
    auto request = readCall(message.fields);
    request.body = std::move(message.body);
    if (m_isDraining || !m_context->callHandler) {
        refuse(message.id, Reason::Draining);
        return;
    }
    if (m_running.size() >= m_context->settings.maxCallsPerLink) {
        refuse(message.id, Reason::QueueFull);
        return;
    }
    auto cancellation = std::make_shared<Cancellation>();
    m_running.emplace(message.id, cancellation);
    asio::co_spawn(m_context->io, runCall(message.id, std::move(request), std::move(cancellation)),
                   asio::detached);
}

auto PeerServerLink::runCall(CallId id, CallRequest request, CancellationPtr cancellation)
        -> Task<void>
{
    const auto self = shared_from_this();
    auto answer = CallAnswer();
    try {
        answer = co_await m_context->callHandler(m_link->farNode(), std::move(request),
                                                 cancellation);
    } catch (const std::exception &error) {
        log::Line(log::Severity::Error, "call-handler-failed").add("error", error.what());
        answer = CallAnswer{.outcome = Outcome::Unknown, .wasDispatched = true};
    }
    if (m_running.erase(id) > 0 && !m_isClosed)
        this->answer(id, std::move(answer));
}

auto PeerServerLink::beginRequest(LinkMessage message) -> void
{
    auto topic = readRequest(message.fields);
    if (message.isDamaged) {
        ++m_context->traffic.damagedFrames;
        reply(message.id, true, "the request arrived damaged; send it again");
        return;
    }
    if (m_runningRequests >= m_context->settings.maxCallsPerLink) {
        reply(message.id, true, "too many requests run; send it later");
        return;
    }
    ++m_runningRequests;
    asio::co_spawn(m_context->io, runRequest(message.id, std::move(topic), std::move(message.body)),
                   asio::detached);
}

auto PeerServerLink::runRequest(CallId id, std::string topic, std::string payload) -> Task<void>
{
    const auto self = shared_from_this();
    auto hasFailed = true;
    auto body = std::string("no handler for topic '" + topic + "'; ask a node that has one");
    try {
        const auto it = m_context->requestHandlers.find(topic);
        if (it != m_context->requestHandlers.end()) {
            body = co_await it->second(m_link->farNode(), std::move(payload));
            hasFailed = false;
        }
    } catch (const std::exception &error) {
        body = error.what();
    }
    --m_runningRequests;
    reply(id, hasFailed, std::move(body));
}

auto PeerServerLink::refuse(CallId id, Reason reason) -> void
{
    answer(id, CallAnswer{.outcome = Outcome::NotRun, .reason = reason});
}

auto PeerServerLink::answer(CallId id, CallAnswer answer) -> void
{
    if (m_isClosed)
        return;
    auto fields = writeAnswer(answer);
    if (fields.size() > PeerLink::MaxFieldBytes
        || answer.body.size() > m_context->settings.maxBodyBytes) {
        answer = CallAnswer{.outcome = Outcome::Unknown,
                            .reason = Reason::TooLarge,
                            .wasDispatched = true,
                            .report = std::move(answer.report)};
        fields = writeAnswer(answer);
    }
    m_link->send(FrameKind::Answer, id, std::move(fields), std::move(answer.body));
    closeIfDrained();
}

auto PeerServerLink::reply(CallId id, bool hasFailed, std::string body) -> void
{
    if (m_isClosed)
        return;
    if (body.size() > m_context->settings.maxBodyBytes) {
        hasFailed = true;
        body = "the reply is too large; ask for less";
    }
    m_link->send(FrameKind::Reply, id, writeReply(hasFailed), std::move(body));
    closeIfDrained();
}

auto PeerServerLink::cancelAll() -> void
{
    const auto running = std::exchange(m_running, {});
    for (const auto &[id, cancellation] : running)
        cancellation->cancel();
}

auto PeerServerLink::closeIfDrained() -> void
{
    if (m_isDraining && !m_isClosed && m_running.empty() && m_runningRequests == 0
        && m_link->isFlushed())
        m_link->close();
}

} // namespace stairspur::transport
