#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <stairspur/core/Hash.h>
#include <stairspur/transport/HttpServer.h>
#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>

#include "../../source/node/Entry.h"
#include "../../source/node/Gate.h"
#include "../../source/node/GrantorService.h"
#include "../../source/node/ProblemResponse.h"

namespace stairspur::node {

/// Generates predictable ids that differ from those of the seeded generators.
class CountedCallIds : public CallIdSource
{
public:
    auto next() -> CallId override { return ++m_last; }

private:
    CallId m_last = 0xca11'0000;
};

/// The complete path of a call in one process and on one thread: entry, peer links, gates, and backend servers with handlers
/// of the test. All but the control plane, whose boards the tests publish, is the product's code over loopback sockets on
/// free ports.
class CallPathHarness
{
public:
    using Backend = transport::HttpServer::Handler;

    /// One host with its gate and its backend server.
    struct Host
    {
        Host(transport::asio::io_context &io, Backend handler, const std::string &service,
             const CallProtocol *protocol = nullptr)
            : backend(io, {}, std::move(handler))
            , peerServer(io, "127.0.0.1", 0, {})
            , quarantine(io, board, startPeerServer(), peerServer.port(),
                         [this](const auto &to, const auto &payload) {
                             if (sendQuarantineMessage)
                                 sendQuarantineMessage(to, payload);
                         })
            , protocol(protocol)
            , io(io)
        {
            restartGate();
            backend.start();
            board.backend.publish({service, backend.port(), 8, membership::ServingState::Serving});
            peerServer.setCallHandler(
                    [this](const NodeId &, transport::CallRequest request, auto cancellation) {
                        return gate->handle(std::move(request), std::move(cancellation));
                    });
            quarantine.start();
        }

        /// Binds the port of the peer server, which determines the node id.
        auto startPeerServer() -> NodeId
        {
            peerServer.start();
            return node();
        }

        /// Replaces the gate by one that knows nothing, as after a restart of the node. No call may be running here.
        auto restartGate() -> void
        {
            gate = std::make_unique<Gate>(io, board, running, metrics, callIds, quarantine, 7,
                                          protocol);
        }

        [[nodiscard]] auto node() const -> NodeId
        {
            return "127.0.0.1:" + std::to_string(peerServer.port());
        }

        NodeBoard board;
        NodeMetrics metrics;
        RunningCalls running;
        CountedCallIds callIds;
        transport::HttpServer backend;
        transport::PeerServer peerServer;
        QuarantineService quarantine;
        std::unique_ptr<Gate> gate;
        const CallProtocol *protocol;
        transport::asio::io_context &io;
        std::function<void(const NodeId &to, const std::string &payload)> sendQuarantineMessage;
    };

    explicit CallPathHarness(const CallProtocol *ownProtocol = nullptr)
        : protocol(ownProtocol)
        , peers(io, {})
        , grantor(
                  grantorBoard, "own", std::chrono::seconds(60), 1,
                  [](const auto &, const auto &) {},
                  [this](const auto &grant) { entry.didGrant(grant); })
        , entry(
                  io, settings, board, running, metrics, peers, 1, 11,
                  [this](const auto &, const auto &payload) { grantor.receive("own", payload); },
                  ownProtocol)
    {
        settings.failureDomain = "centre";
        board.configurationProof.publish({monotonicNow()});
        auto own = membership::Member();
        own.node = "own";
        grantorBoard.members.publish({.members = {own}});
        auto configuration = config::VersionedConfiguration();
        configuration.version = 1;
        configuration.configuration.classes = {{"orders", 0}, {"browse", 1}};
        configuration.configuration.services = {
                {.name = "menu"}, {.name = "lonely"}, {.name = "orders", .isIdempotent = false}};
        configuration.configuration.callers = {
                {.name = "kitchen", .keySha256 = sha256Hex("key"), .classes = {"orders"}}};
        auto shared =
                std::make_shared<const config::VersionedConfiguration>(std::move(configuration));
        board.configuration.publish(
                std::make_shared<const config::ConfigurationIndex>(std::move(shared)));
    }

    auto addHost(const std::string &service, Backend handler) -> Host &
    {
        hosts.push_back(std::make_unique<Host>(io, std::move(handler), service, protocol));
        auto view = *board.members.read();
        auto member = membership::Member();
        member.node = hosts.back()->node();
        member.service = service;
        member.domain = "centre";
        member.incarnation = 1;
        member.state = membership::ServingState::Serving;
        member.slots = 8;
        view.members.push_back(std::move(member));
        for (const auto &it : hosts)
            it->board.members.publish(view);
        board.members.publish(std::move(view));
        connectGate(*hosts.back());
        return *hosts.back();
    }

    /// Delivers the quarantine messages of `host` to the other hosts, as datagrams would.
    auto connectGate(Host &host) -> void
    {
        host.sendQuarantineMessage = [this, from = host.node()](const NodeId &to,
                                                                const std::string &payload) {
            transport::asio::post(io, [this, from, to, payload] {
                for (const auto &it : hosts) {
                    if (it->node() == to)
                        it->quarantine.receive(from, payload);
                }
            });
        };
    }

    auto request(const std::string &service, const std::string &body) -> transport::HttpRequest
    {
        auto request = transport::HttpRequest{.method = "POST", .target = "/", .body = body};
        request.headers.set("Authorization", "Bearer key");
        request.headers.set("Stairspur-Service", service);
        request.headers.set("Idempotency-Key", "k-" + body);
        return request;
    }

    /// Starts a call. Its response is stored in `responses` at the returned index.
    auto start(transport::HttpRequest request, transport::CancellationPtr cancellation = {})
            -> std::size_t
    {
        if (!cancellation)
            cancellation = std::make_shared<transport::Cancellation>();
        grantorBoard.configuration.publish(*board.configuration.read());
        const auto index = responses.size();
        responses.emplace_back();
        ++waiting;
        transport::asio::co_spawn(
                io,
                [this, index, request = std::move(request),
                 cancellation]() mutable -> transport::Task<void> {
                    responses[index] =
                            co_await entry.handle(std::move(request), std::move(cancellation));
                    --waiting;
                },
                transport::asio::detached);
        return index;
    }

    /// Starts the execution of a call whose key is bound. Its answer is stored as a response to a caller.
    auto startBound(const std::string &service, const std::string &body) -> std::size_t
    {
        auto call =
                transport::CallRequest{.service = service, .className = "orders", .method = "POST"};
        call.target = "/";
        call.level = makeLevel(0, 1);
        call.remaining = std::chrono::seconds(5);
        call.retryBudget = 3;
        call.idempotencyKey = "k-" + body;
        call.body = body;
        const auto index = responses.size();
        responses.emplace_back();
        ++waiting;
        transport::asio::co_spawn(
                io,
                [this, index, call = std::move(call)]() mutable -> transport::Task<void> {
                    auto answer = co_await entry.executeKeyed(
                            std::move(call), std::make_shared<transport::Cancellation>());
                    responses[index] = responseFor(std::move(answer));
                    --waiting;
                },
                transport::asio::detached);
        return index;
    }

    /// Runs until `isDone` and returns true, or returns false after 20 s without an event.
    auto runUntil(const std::function<bool()> &isDone) -> bool
    {
        while (!isDone()) {
            if (io.run_one_for(std::chrono::seconds(20)) == 0)
                return false;
        }
        return true;
    }

    auto finish() -> bool
    {
        return runUntil([this] { return waiting == 0; });
    }

    const CallProtocol *protocol; ///< Null for the product's own protocol.
    transport::asio::io_context io{1};
    NodeSettings settings;
    NodeBoard board;
    NodeBoard
            grantorBoard; ///< In whose view the grantor is the only node, and so grants all quotas.
    NodeMetrics metrics;
    RunningCalls running;
    transport::PeerClient peers;
    GrantorService grantor; ///< Grants the tokens of the entry's own node.
    Entry entry;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<transport::HttpResponse> responses;
    std::size_t waiting = 0;
};

/// Returns a response of a backend server.
inline auto backendAnswer(std::uint32_t status, std::string body) -> transport::HttpResponse
{
    auto response = transport::HttpResponse{.status = status};
    response.body = std::move(body);
    return response;
}

} // namespace stairspur::node
