#pragma once

#include <optional>
#include <string>

#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>

#include "Loop.h"

namespace stairspur::transport::test {

inline constexpr auto LongTimeout = Duration(20'000'000);

inline auto settings(const std::string &node) -> PeerSettings
{
    auto settings = PeerSettings{.ownNode = node, .secret = "secret"};
    settings.frameBytes = 1000;
    settings.maxBodyBytes = 1'000'000;
    settings.connectTimeout = LongTimeout;
    return settings;
}

inline auto callOf(std::string body, Duration remaining = LongTimeout) -> CallRequest
{
    auto request = CallRequest{.service = "order", .remaining = remaining, .retryBudget = 5};
    request.method = "POST";
    request.target = "/";
    request.body = std::move(body);
    return request;
}

/// A server and a client in one thread.
struct Pair
{
    Pair(asio::io_context &loop, PeerServer::CallHandler handler,
         PeerSettings serverSettings = settings("server"),
         PeerSettings clientSettings = settings("client"))
        : io(loop)
        , server(io, "127.0.0.1", 0, std::move(serverSettings))
        , client(io, std::move(clientSettings))
    {
        server.setCallHandler(std::move(handler));
        server.start();
        node = "127.0.0.1:" + std::to_string(server.port());
    }

    auto call(CallRequest request, CancellationPtr cancellation = nullptr) -> CallAnswer
    {
        return runTask(io, client.call(node, std::move(request), std::move(cancellation)));
    }

    /// Begins a call whose answer comes into `answer`.
    auto begin(CallRequest request, std::optional<CallAnswer> &answer,
               CancellationPtr cancellation = nullptr) -> void
    {
        asio::co_spawn(io, client.call(node, std::move(request), std::move(cancellation)),
                       [&answer](const std::exception_ptr &error, CallAnswer it) {
                           cr_assert(!error);
                           answer = std::move(it);
                       });
    }

    asio::io_context &io;
    PeerServer server;
    PeerClient client;
    NodeId node;
};

inline auto echo(NodeId from, CallRequest request, CancellationPtr) -> Task<CallAnswer>
{
    auto answer = CallAnswer{.outcome = Outcome::Answered, .wasDispatched = true, .status = 200};
    answer.headers.add("From", from);
    answer.headers.add("Service", request.service);
    answer.body = std::move(request.body);
    answer.report = admission::LoadReport{.sequence = 4, .limit = 2};
    co_return answer;
}

inline auto bodyOf(std::size_t n) -> std::string
{
    auto body = std::string(n, '\0');
    for (std::size_t index = 0; index < n; ++index)
        body[index] = static_cast<char>(index * 31 + index / 251);
    return body;
}

} // namespace stairspur::transport::test
