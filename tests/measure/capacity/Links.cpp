#include <memory>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "../../node/CallPathHarness.h"
#include <stairspur/transport/HttpClient.h>

#include "Measurements.h"
#include "Meters.h"

namespace stairspur::capacity {

namespace asio = transport::asio;
using node::CallPathHarness;
using transport::PeerClient;
using transport::PeerServer;

/// Idle links between many clients and one server, all in this process: both ends of each are counted.
static auto measureIdleLinks() -> void
{
    static constexpr auto Count = 400;
    auto io = asio::io_context(1);
    auto server = PeerServer(io, "127.0.0.1", 0, {.ownNode = "server"});
    server.setRequestHandler("echo", [](auto, std::string payload) -> transport::Task<std::string> {
        co_return payload;
    });
    server.start();
    const auto node = "127.0.0.1:" + std::to_string(server.port());
    auto clients = std::vector<std::unique_ptr<PeerClient>>();
    auto ready = 0;
    const auto openOne = [&] {
        clients.push_back(
                std::make_unique<PeerClient>(io, transport::PeerSettings{.ownNode = "client"}));
        asio::co_spawn(io, clients.back()->request(node, "echo", "x", Duration{10'000'000}),
                       [&ready](const auto &, const auto &) { ++ready; });
        while (ready < static_cast<int>(clients.size()) && io.run_one() > 0)
            ;
    };
    openOne();
    const auto before = heapBytes();
    for (auto index = 0; index < Count; ++index)
        openOne();
    print("memory, an idle peer link, one end (mean of both)", (heapBytes() - before) / Count / 2,
          "B");
}

/// Callers' connections that have been answered and are kept, both ends in this process.
static auto measureIdleConnections() -> void
{
    static constexpr auto Count = 400;
    auto io = asio::io_context(1);
    auto server = transport::HttpServer(io, {},
                                        [](auto, auto) -> transport::Task<transport::HttpResponse> {
                                            co_return node::backendAnswer(200, "done");
                                        });
    server.start();
    auto clients = std::vector<std::unique_ptr<transport::HttpClient>>();
    auto answered = 0;
    const auto ask = [&](transport::HttpClient &client) -> transport::Task<void> {
        auto request = transport::HttpRequest{.method = "POST", .target = "/", .body = "x"};
        co_await client.send(std::move(request), Duration{10'000'000}, nullptr);
        ++answered;
    };
    const auto openOne = [&] {
        clients.push_back(std::make_unique<transport::HttpClient>(
                io, transport::HttpClientSettings{.port = server.port()}));
        asio::co_spawn(io, ask(*clients.back()), asio::detached);
        while (answered < static_cast<int>(clients.size()) && io.run_one() > 0)
            ;
    };
    openOne();
    const auto before = heapBytes();
    for (auto index = 0; index < Count; ++index)
        openOne();
    const auto both = (heapBytes() - before) / Count;
    const auto withClients = heapBytes();
    clients.clear();
    const auto client = (withClients - heapBytes()) / Count;
    print("memory, an idle connection of the HTTP client", client, "B");
    print("memory, an idle caller's connection at the entry", both - client, "B");
}

/// Calls that wait for their backend server, from the entry's handler to the gate's connection. The backend server's end
/// of the connection stands in the same process and is counted too.
static auto measureCallsInFlight() -> void
{
    static constexpr auto Count = 250;
    auto path = CallPathHarness();
    auto waiting = std::vector<std::unique_ptr<asio::steady_timer>>();
    auto isOver = false;
    auto &host = path.addHost("menu", [&](auto, auto) -> transport::Task<transport::HttpResponse> {
        waiting.push_back(std::make_unique<asio::steady_timer>(path.io, std::chrono::hours(1)));
        auto ec = boost::system::error_code();
        if (!isOver)
            co_await waiting.back()->async_wait(asio::redirect_error(asio::use_awaitable, ec));
        co_return node::backendAnswer(200, "done");
    });
    host.board.backend.publish(
            {"menu", host.backend.port(), 10'000, membership::ServingState::Serving});
    static constexpr auto ColdPlaces = 4U;
    for (auto n = 0U; n < ColdPlaces; ++n)
        path.start(path.request("menu", "x"));
    path.runUntil([&] { return waiting.size() == ColdPlaces; });
    const auto before = heapBytes();
    for (auto n = 0; n < Count; ++n)
        path.start(path.request("menu", "x"));
    // Calls beyond the gate's initial limit wait in its queue. The memory that they use is that of the entry, the link
    // and the gate.
    path.runUntil([&] { return host.gate->report().queued >= Count; });
    print("calls that wait in the gate's queue", host.gate->report().queued, "");
    print("memory, a call in flight: entry, link and gate", (heapBytes() - before) / Count, "B");
    isOver = true;
    for (const auto &it : waiting)
        it->cancel();
    path.finish();
}

static auto measureCalls() -> void
{
    static constexpr auto Count = 20'000U;
    auto path = CallPathHarness();
    path.addHost("menu", [](auto, auto) -> transport::Task<transport::HttpResponse> {
        co_return node::backendAnswer(200, "done");
    });
    path.start(path.request("menu", "x"));
    path.finish();
    measureProcessor("processor, entry, link, gate and backend on one busy thread", Count,
                     [&](auto) {
                         path.responses.clear();
                         path.start(path.request("menu", "x"));
                         path.finish();
                     });
}

auto measureLinks() -> void
{
    measureIdleLinks();
    measureIdleConnections();
    measureCallsInFlight();
    measureCalls();
}

} // namespace stairspur::capacity
