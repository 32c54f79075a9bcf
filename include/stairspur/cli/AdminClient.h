#pragma once

#include <functional>
#include <string>

#include <stairspur/cli/SettingParsers.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/HttpMessages.h>

namespace stairspur::cli {

/// Sends one request to a node's admin port and returns its whole answer. Throws transport::HttpClientError.
using AdminSender = std::function<transport::HttpResponse(transport::HttpRequest)>;

/// A sender that blocks until the answer is there or `timeout` has passed.
auto makeAdminSender(Endpoint admin, Duration timeout) -> AdminSender;

/// Posts `body` to `target` and returns the answer of a node that agrees. Throws CommandError when it cannot be reached, gives no
/// answer (`ifUnknown`: what to do then), or refuses.
auto postToNode(const AdminSender &send, const std::string &target, const std::string &body,
                const std::string &ifUnknown) -> transport::HttpResponse;

/// The sender that the flags --admin and --admin-timeout ask for. Throws SettingError.
auto makeAdminSenderFromFlags() -> AdminSender;

} // namespace stairspur::cli
