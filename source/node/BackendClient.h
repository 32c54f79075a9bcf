#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include <stairspur/config/Configuration.h>
#include <stairspur/node/CallProtocol.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/Task.h>

#include "BackendAnswer.h"
#include "NodeBoard.h"

namespace stairspur::node {

/// The result of a call that was sent to the backend server.
struct BackendReply
{
    BackendResult result;
    /// What a complete response states about the server; nothing if it is not known to be the server's own.
    std::optional<ResponseStatement> statement;
    std::optional<transport::HttpFailure> failure; ///< Empty if there is a complete response.
    std::uint32_t status = 0; ///< Of the response that is forwarded; 0 if none is.
    transport::HeaderList headers;
    std::string body;
};

/// Sends calls to one process instance of the backend server, in the protocol that it uses.
class BackendClient
{
public:
    /// `protocol` is null for the product's own protocol. `didDropAnswer` is called for each answer that belongs to none of the
    /// calls that wait.
    BackendClient(transport::asio::io_context &io, const LocalBackend &backend,
                  const config::ServiceLimits &limits, const CallProtocol *protocol,
                  std::function<void()> didDropAnswer);

    /// Sends one call, and waits at most `remaining` for its response.
    auto send(transport::CallRequest request, CallId id, Duration remaining,
              transport::CancellationPtr cancellation) -> transport::Task<BackendReply>;

    /// Fails the calls of which no byte has been sent, because the backend server leaves. Calls that run are kept.
    auto stopSending() -> void;

private:
    [[nodiscard]] auto writeRequest(transport::CallRequest request, CallId id,
                                    Duration remaining) const -> transport::HttpRequest;
    [[nodiscard]] auto answerHeaders(transport::HeaderList headers) const -> transport::HeaderList;
    [[nodiscard]] auto statementIn(const transport::HttpResponse &response) const
            -> ResponseStatement;
    [[nodiscard]] auto interpret(const transport::HttpResponse &response) const -> BackendResult;

    std::string m_instance;
    const CallProtocol *m_protocol;
    transport::HttpClient m_client;
    bool m_isStopped = false;
};

} // namespace stairspur::node
