#pragma once

#include <functional>

#include <stairspur/admission/LoadReport.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/retry/CallBudget.h>

#include "RootRequest.h"

namespace stairspur::overload {

/// One attempt, from an entry to a gate.
struct AttemptRequest
{
    CallId id = 0;
    RootRequestPtr root;
    retry::AttemptBudget budget;
    bool isDeeperCall = false; ///< Made by a backend server that runs the root request.
};

struct AttemptAnswer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool wasDispatched = false;
    std::uint32_t unspent = 0;
    Duration retryAfter{0};
    admission::LoadReport report;
};

using AnswerHandler = std::function<void(const AttemptAnswer &)>;

/// How a call ended, for whoever made it.
struct CallResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    Duration retryAfter{0};
    std::uint32_t unspent = 0;
};

using ResultHandler = std::function<void(const CallResult &)>;

} // namespace stairspur::overload
