#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <stairspur/config/ConfigurationIndex.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/node/CallRejected.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/HttpMessages.h>

#include "RunningCalls.h"

namespace stairspur::node {

/// A call as the entry works on it.
struct IncomingCall
{
    transport::CallRequest request;
    TimePoint deadline;
    bool isIdempotent = true;
    bool hasDeeperCalls = false; ///< Its service calls others, as far as the call paths tell.
    /// The caller was known by a key, which may have been taken away since.
    bool needsConfigurationProof = false;
    std::optional<config::RequestQuota> quota{}; ///< Of the caller; deeper calls have none.
    PathKey parentPath = NoPath;
    std::uint32_t parentCallsPerRoot = 1; ///< Calls like the parent that the root makes.
    std::uint32_t parentCallsLeft = 1;    ///< Of these, the parent and those after it.
    std::optional<CallId> parent; ///< The running call of this host's backend server that makes it.
};

/// Reads what a caller or this host's backend server sent: who, what, how important, until when. Throws CallRejected.
///
/// A deeper call inherits class, root and deadline from its parent in `running`, and can lower them, never raise them. It
/// must come from this host: from a loopback address or from `ownAddress`.
auto readCall(transport::HttpRequest request, const config::ConfigurationIndex &configuration,
              const RunningCalls &running, std::string_view ownAddress, TimePoint now,
              Random &random) -> IncomingCall;

} // namespace stairspur::node
