#pragma once

#include <string>

#include <stairspur/config/ConfigurationIndex.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/node/CallProtocol.h>

#include "CallIntake.h"
#include "RunningCalls.h"

namespace stairspur::node {

/// Returns the id under which a gate runs the attempt. The entry of the same host computes the same id to find the parents
/// of deeper calls.
auto callIdOf(const std::string &attemptId) -> CallId;

/// Finds the route of a request, which determines its service, class, deadline and attempts. Throws CallRejected.
///
/// A deeper call whose parent runs on this host inherits class and root from it, and its deadline is at most the parent's.
/// A deeper call whose parent does not run on this host has the class of its own route. On a route that needs a caller it
/// is refused, because its caller cannot be determined.
auto routeCall(RoutedRequest request, const config::ConfigurationIndex &configuration,
               const RunningCalls &running, const std::string &ownService, TimePoint now,
               Random &random) -> IncomingCall;

} // namespace stairspur::node
