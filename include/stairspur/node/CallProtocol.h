#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <stairspur/core/Error.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/node/ResponseStatement.h>
#include <stairspur/transport/CallMessages.h>
#include <stairspur/transport/HttpMessages.h>

namespace stairspur::node {

/// A request of a caller or of this host's backend server that is routed by host and path, with decoded header fields.
struct RoutedRequest
{
    std::string attemptId; ///< The caller's id of this attempt; unique for each attempt.
    std::string
            parentAttemptId; ///< Attempt id of the running call that makes this one; empty for a request from outside.
    std::string
            rootAttemptId; ///< Attempt id of the outside request that this call is made for; may be attemptId.
    std::string
            keySha256; ///< SHA-256 of the caller's key; empty if the request has no valid key field.
    std::optional<Duration> remaining; ///< Time for which the caller still waits.
    std::string host;                  ///< Host name without a port.
    std::string path;                  ///< Path of the target, without the query.
    std::string method;
    std::string target;
    transport::HeaderList headers; ///< Fields that are forwarded unchanged.
    std::string body;
};

/// Kinds of responses of a backend server to an attempt.
enum class ResponseKind {
    Answered, ///< A complete response of any status.
    Failed,   ///< The attempt ran and failed; status and body are forwarded.
    Shed, ///< The backend server reports that the attempt did not run, because it is full or leaving.
    Damaged, ///< The response reports success but is not the backend server's complete response.
    WrongInstance, ///< Another backend server has the address; the attempt did not run.
    /// Callers conclude from its status that the attempt did not run, but it lacks the backend server's mark for that.
    UnprovenRefusal,
};

/// The protocol of callers and backend servers that don't use the product's own protocol.
struct CallProtocol
{
    /// Whether a backend server runs exactly as many calls at once as it announces slots.
    bool areSlotsExact = false;
    std::function<RoutedRequest(transport::HttpRequest)> readRequest;
    /// Returns whether a field of a backend server's response is forwarded to the caller. Fields that are not forwarded, or
    /// that the entry writes itself, are not sent between failure domains either.
    std::function<bool(std::string_view field)> isForwardedField;
    /// Returns the response to the caller's attempt `attemptId`. Every attempt gets one.
    std::function<transport::HttpResponse(transport::CallAnswer, const std::string &attemptId)>
            writeAnswer;
    /// Returns the response to a request that is not a valid call, or that this node cannot serve now.
    std::function<transport::HttpResponse(Reason reason, const std::string &detail,
                                          Duration retryAfter)>
            writeRefusal;
    /// Returns the request to the backend server `instance`, which may be empty.
    std::function<transport::HttpRequest(transport::CallRequest call, Duration remaining,
                                         const std::string &instance)>
            writeBackendRequest;
    std::function<ResponseKind(const transport::HttpResponse &)> readBackendResponse;
    /// Names of the fields by which a backend server states something about itself.
    StatementFields statementFields;
    /// Returns the id in the header fields of a request to a backend server, which its response repeats.
    std::function<std::string_view(const transport::HeaderList &)> echoedId;
};

} // namespace stairspur::node
