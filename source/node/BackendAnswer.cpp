#include "BackendAnswer.h"

#include <stairspur/core/Hash.h>
#include <stairspur/core/Hex.h>

namespace stairspur::node {

namespace header = transport::header;
using admission::Completion;
using transport::HttpFailure;

static constexpr auto FirstServerError = std::uint32_t{500};

auto interpretResponse(const transport::HttpResponse &response) -> BackendResult
{
    const auto reportedOutcome = fromName<Outcome>(response.headers.find(header::Outcome));
    if (reportedOutcome == Outcome::NotRun)
        return {Outcome::NotRun, Reason::BackendShed, Completion::Shed};
    if (reportedOutcome == Outcome::Unknown)
        return {Outcome::Unknown, Reason::BackendFailed, Completion::Failed};
    if (response.status >= FirstServerError)
        return {Outcome::Failed, Reason::BackendFailed, Completion::Failed};
    return {Outcome::Answered, Reason::None, Completion::Succeeded};
}

auto resultFor(ResponseKind kind) -> BackendResult
{
    switch (kind) {
    case ResponseKind::Answered:
        return {Outcome::Answered, Reason::None, Completion::Succeeded};
    case ResponseKind::Failed:
        return {Outcome::Failed, Reason::BackendFailed, Completion::Failed};
    case ResponseKind::Shed:
        return {Outcome::NotRun, Reason::BackendShed, Completion::Shed};
    case ResponseKind::Damaged:
        return {Outcome::Unknown, Reason::DamagedAnswer, Completion::Failed};
    case ResponseKind::UnprovenRefusal:
        return {Outcome::Failed, Reason::BackendFailed, Completion::Failed, true};
    case ResponseKind::WrongInstance:
        break;
    }
    return {Outcome::NotRun, Reason::WrongPlacement, Completion::Cancelled};
}

auto interpretFailure(HttpFailure failure) -> BackendResult
{
    switch (failure) {
    case HttpFailure::NotConnected:
        return {Outcome::NotRun, Reason::NoUpstream, Completion::Failed};
    case HttpFailure::TimedOut:
        return {Outcome::Unknown, Reason::DeadlineExceeded, Completion::TimedOut};
    case HttpFailure::Cancelled:
        return {Outcome::Unknown, Reason::Cancelled, Completion::Cancelled};
    case HttpFailure::Broken:
        break;
    }
    return {Outcome::Unknown, Reason::BackendFailed, Completion::Failed};
}

/// Returns a `traceparent` header with a child span of the root's trace. Backend servers forward it to the servers that they
/// call and to trace collectors. Its parent id is a one-way hash of the call's id, because the call's id is a credential.
static auto traceParent(const RootId &root, CallId id) -> std::string
{
    static constexpr auto ParentIdLength = std::size_t{16};
    auto parentId = sha256Hex("span " + toHex(id)).substr(0, ParentIdLength);
    return "00-" + root.toString() + "-" + parentId + "-00";
}

auto backendRequest(transport::CallRequest call, CallId id, Duration remaining)
        -> transport::HttpRequest
{
    auto request = transport::HttpRequest();
    request.headers = std::move(call.headers);
    request.headers.set(std::string(header::Call), toHex(id));
    request.headers.set(std::string(header::Timeout), std::to_string(toMilliseconds(remaining)));
    request.headers.set(std::string(header::TraceParent), traceParent(call.root, id));
    request.headers.set(std::string(header::Class), call.className);
    if (!call.idempotencyKey.empty())
        request.headers.set(std::string(header::IdempotencyKey), call.idempotencyKey);
    request.method = std::move(call.method);
    request.target = std::move(call.target);
    request.body = std::move(call.body);
    return request;
}

} // namespace stairspur::node
