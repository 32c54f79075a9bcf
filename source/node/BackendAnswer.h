#pragma once

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/node/CallProtocol.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// The result of an attempt at the backend server, for the caller and for the concurrency limit.
struct BackendResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    admission::Completion completion = admission::Completion::Succeeded;
    /// The response is not forwarded, because callers would take its status for a proof that the call did not run.
    bool isWithheld = false;
};

/// Returns the result of a complete response. Only the backend server's header `Stairspur-Outcome: not-run` proves that the
/// attempt did not run.
auto interpretResponse(const transport::HttpResponse &response) -> BackendResult;

/// Returns the result of a response that was read by another protocol than the product's own.
auto resultFor(ResponseKind kind) -> BackendResult;

/// Returns the result of an attempt without a complete response.
auto interpretFailure(transport::HttpFailure failure) -> BackendResult;

/// Returns the request that the gate sends to the backend server for `call`.
auto backendRequest(transport::CallRequest call, CallId id, Duration remaining)
        -> transport::HttpRequest;

} // namespace stairspur::node
