#pragma once

#include <string>

#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// The HTTP status that goes with a call that has no answer of a backend server (docs/INTERFACES.md).
auto statusFor(Outcome outcome, Reason reason) -> std::uint32_t;

/// A truthful final answer for a call without one of a backend server: problem+json (RFC 9457) and when to come back.
auto problemResponse(Outcome outcome, Reason reason, const std::string &detail, Duration retryAfter)
        -> transport::HttpResponse;

/// What the caller gets for `answer`.
auto responseFor(transport::CallAnswer answer) -> transport::HttpResponse;

} // namespace stairspur::node
