#pragma once

#include <string>

#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// Returns the HTTP status for a call without an answer of a backend server (docs/INTERFACES.md).
auto statusFor(Outcome outcome, Reason reason) -> std::uint32_t;

/// Returns the final response to a call without an answer of a backend server: problem+json (RFC 9457) with the delay after
/// which to retry.
auto problemResponse(Outcome outcome, Reason reason, const std::string &detail, Duration retryAfter)
        -> transport::HttpResponse;

/// Returns the response to the caller for `answer`.
auto responseFor(transport::CallAnswer answer) -> transport::HttpResponse;

} // namespace stairspur::node
