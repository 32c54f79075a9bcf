#pragma once

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/node/CallProtocol.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// What an attempt at the backend server means for the caller and for the concurrency limit.
struct BackendResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    admission::Completion completion = admission::Completion::Succeeded;
};

/// Reads a whole answer. Only the backend server's own word `Stairspur-Outcome: not-run` proves that it did not run.
auto interpretResponse(const transport::HttpResponse &response) -> BackendResult;

/// What a response means that was read by another protocol than the product's own.
auto resultFor(ResponseKind kind) -> BackendResult;

/// Reads an attempt that has no whole answer.
auto interpretFailure(transport::HttpFailure failure) -> BackendResult;

/// The request that the gate sends for `call`.
auto backendRequest(transport::CallRequest call, CallId id, Duration remaining)
        -> transport::HttpRequest;

} // namespace stairspur::node
