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

/// A call that the entry serves.
struct IncomingCall
{
    transport::CallRequest request;
    TimePoint arrivedAt;
    std::string
            host{}; ///< Host and path by which the call was routed; empty if it names its service.
    std::string path{};
    TimePoint deadline;
    bool hasDeeperCalls = false; ///< Whether its service calls others according to the call paths.
    /// Whether the caller was identified by a key, which may have been revoked since.
    bool needsConfigurationProof = false;
    std::optional<config::RequestQuota> quota{}; ///< Quota of the caller; deeper calls have none.
    PathKey parentPath = NoPath;
    std::uint32_t parentCallsPerRoot = 1; ///< Number of calls like the parent that the root makes.
    std::uint32_t parentCallsLeft = 1;    ///< Number of these that are left, including the parent.
    std::optional<CallId> parent; ///< The running call of this host's backend server that makes it.
};

/// Reads a call of a caller or of this host's backend server: its caller, service, class and deadline. Throws CallRejected.
///
/// A deeper call inherits class, root and deadline from its parent in `running`. It can lower class and deadline but not
/// raise them. It must come from this host, from a loopback address or from `ownAddress`.
auto readCall(transport::HttpRequest request, const config::ConfigurationIndex &configuration,
              const RunningCalls &running, std::string_view ownAddress, TimePoint now,
              Random &random) -> IncomingCall;

} // namespace stairspur::node
