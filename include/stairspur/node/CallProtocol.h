#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <stairspur/core/Error.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// A request of a caller or of this host's backend server that is routed by host and path, its header fields decoded.
struct RoutedRequest
{
    std::string attemptId;       ///< The caller's name for this attempt; each attempt has its own.
    std::string parentAttemptId; ///< Of the running call that makes this one; empty: from outside.
    std::string
            rootAttemptId; ///< Of the outside request that this call is made for; may be attemptId.
    std::string keySha256; ///< Of the caller's key; empty: the request has none that counts.
    std::optional<Duration> remaining; ///< How long the caller still waits.
    std::string host;                  ///< Without a port.
    std::string path;                  ///< Of the target, without its query.
    std::string method;
    std::string target;
    transport::HeaderList headers; ///< Those that are passed on as they are.
    std::string body;
};

/// What a backend server's response says of the attempt.
enum class ResponseKind {
    Answered,      ///< The whole answer, whatever its status.
    Failed,        ///< It ran and failed; status and body are passed on.
    Shed,          ///< The backend server says that it did not run: it is full or leaves.
    Damaged,       ///< It claims success, but cannot be the backend server's whole answer.
    WrongInstance, ///< Another backend server has the address; it did not run.
};

/// How callers and backend servers speak where they don't speak the product's own protocol.
struct CallProtocol
{
    /// A backend server runs exactly as many calls at once as it announces slots.
    bool areSlotsExact = false;
    std::function<RoutedRequest(transport::HttpRequest)> readRequest;
    /// Whether a field of a backend server's response goes back to the caller. One that does not, or that the entry knows
    /// itself, is not sent between failure domains either.
    std::function<bool(std::string_view field)> isForwardedField;
    /// The response to the caller's attempt `attemptId`; never withheld.
    std::function<transport::HttpResponse(transport::CallAnswer, const std::string &attemptId)>
            writeAnswer;
    /// The response to a request that is no call, or that this node cannot serve now.
    std::function<transport::HttpResponse(Reason reason, const std::string &detail,
                                          Duration retryAfter)>
            writeRefusal;
    /// The request for the backend server `instance`, which may be empty.
    std::function<transport::HttpRequest(transport::CallRequest call, Duration remaining,
                                         const std::string &instance)>
            writeBackendRequest;
    std::function<ResponseKind(const transport::HttpResponse &)> readBackendResponse;
    /// Whether a response on a backend server's connection belongs to the request.
    std::function<bool(const transport::HttpRequest &, const transport::HttpResponse &)> isAnswerTo;
};

} // namespace stairspur::node
