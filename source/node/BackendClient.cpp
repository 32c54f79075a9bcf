#include "BackendClient.h"

#include <stairspur/transport/EndToEnd.h>

namespace stairspur::node {

using transport::CallRequest;
using transport::Task;

/// Time without an acknowledgement after which a connection to the backend server is closed. The backend server is on this
/// host, where no packet is lost, so one failed retransmission (200 ms) is enough.
static constexpr auto BackendUnacknowledgedTimeout = Duration{500'000};

static auto clientSettings(const LocalBackend &backend, const config::ServiceLimits &limits,
                           const CallProtocol *protocol, std::function<void()> didDropAnswer)
        -> transport::HttpClientSettings
{
    auto client = transport::HttpClientSettings();
    client.address = backend.address;
    client.port = backend.port;
    client.maxAnswerBytes = limits.maxAnswerBytes;
    client.unacknowledgedTimeout = BackendUnacknowledgedTimeout;
    if (protocol)
        client.echoedId = protocol->echoedId;
    client.didDropAnswer = std::move(didDropAnswer);
    return client;
}

BackendClient::BackendClient(transport::asio::io_context &io, const LocalBackend &backend,
                             const config::ServiceLimits &limits, const CallProtocol *protocol,
                             std::function<void()> didDropAnswer)
    : m_instance(backend.incarnation.instance)
    , m_protocol(protocol)
    , m_client(io, clientSettings(backend, limits, protocol, std::move(didDropAnswer)))
{}

/// Returns whether a response comes from the backend server as it sent it.
static auto isOwnResponse(Reason reason) -> bool
{
    return reason != Reason::DamagedAnswer && reason != Reason::WrongPlacement;
}

auto BackendClient::send(CallRequest request, CallId id, Duration remaining,
                         transport::CancellationPtr cancellation) -> Task<BackendReply>
{
    auto reply = BackendReply();
    try {
        auto sent = writeRequest(std::move(request), id, remaining);
        auto response = co_await m_client.send(std::move(sent), remaining, std::move(cancellation));
        reply.result = interpret(response);
        if (isOwnResponse(reply.result.reason))
            reply.statement = statementIn(response);
        const auto outcome = reply.result.outcome;
        const auto hasRun = outcome == Outcome::Answered || outcome == Outcome::Failed;
        if (hasRun && !reply.result.isWithheld) {
            reply.status = response.status;
            reply.headers = answerHeaders(std::move(response.headers));
            reply.body = std::move(response.body);
        }
    } catch (const transport::HttpClientError &error) {
        reply.failure = error.failure();
        reply.result = interpretFailure(error.failure());
        if (m_isStopped && error.failure() == transport::HttpFailure::NotConnected)
            reply.result = {Outcome::NotRun, Reason::Draining, admission::Completion::Cancelled};
    }
    co_return reply;
}

auto BackendClient::stopSending() -> void
{
    m_isStopped = true;
    m_client.stopSending();
}

auto BackendClient::writeRequest(CallRequest request, CallId id, Duration remaining) const
        -> transport::HttpRequest
{
    if (!m_protocol)
        return backendRequest(std::move(request), id, remaining);
    return m_protocol->writeBackendRequest(std::move(request), remaining, m_instance);
}

/// Returns the response fields that the entry forwards to the caller. The others are dropped here, because traffic between
/// failure domains is expensive.
auto BackendClient::answerHeaders(transport::HeaderList headers) const -> transport::HeaderList
{
    if (!m_protocol)
        return headers;
    auto kept = transport::HeaderList();
    for (auto &it : transport::endToEndFields(headers)) {
        if (m_protocol->isForwardedField(it.name))
            kept.add(std::move(it.name), std::move(it.value));
    }
    return kept;
}

auto BackendClient::statementIn(const transport::HttpResponse &response) const -> ResponseStatement
{
    static constexpr auto OwnFields =
            StatementFields{transport::header::RateLimit, transport::header::Leaving};
    return readStatement(response.headers, m_protocol ? m_protocol->statementFields : OwnFields);
}

auto BackendClient::interpret(const transport::HttpResponse &response) const -> BackendResult
{
    if (!m_protocol)
        return interpretResponse(response);
    return resultFor(m_protocol->readBackendResponse(response));
}

} // namespace stairspur::node
