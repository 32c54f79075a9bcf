#include <algorithm>

#include <criterion/criterion.h>

#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>

#include "PeerPair.h"
#include "Relay.h"

using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

/// A running call over a relay, whose handler waits to be cancelled.
struct RunningCall
{
    explicit RunningCall(Duration pingInterval)
        : pair(
                io,
                [this](NodeId, CallRequest, CancellationPtr it) -> Task<CallAnswer> {
                    auto event = Event(co_await asio::this_coro::executor);
                    it->onCancel([&] { event.set(); });
                    isRunning = true;
                    co_await event.wait();
                    isCancelled = true;
                    co_return CallAnswer();
                },
                settingsOf("server", pingInterval), settingsOf("client", pingInterval))
        , relay(io, pair.server.port())
    {
        pair.node = "127.0.0.1:" + std::to_string(relay.port());
        pair.begin(callOf("x"), answer);
        runUntil(io, [this] { return isRunning; });
    }

    static auto settingsOf(const std::string &node, Duration pingInterval) -> PeerSettings
    {
        auto it = settings(node);
        it.pingInterval = pingInterval;
        return it;
    }

    auto ensureBothEndsNotice() -> void
    {
        runUntil(io, [this] { return answer && isCancelled; });
        cr_assert(answer->outcome == Outcome::Unknown);
        cr_assert(answer->reason == Reason::LinkLost);
        cr_assert_eq(pair.client.links(), 0);
    }

    asio::io_context io;
    bool isRunning = false;
    bool isCancelled = false;
    std::optional<CallAnswer> answer;
    Pair pair;
    Relay relay;
};

Test(PeerEnds, cutLinkEndsTheCallAtBothEnds)
{
    auto call = RunningCall(LongTimeout);
    call.relay.cut();
    call.ensureBothEndsNotice();
}

Test(PeerEnds, silentLinkIsTakenForBrokenAtBothEnds)
{
    auto call = RunningCall(Duration(100'000));
    call.relay.mute();
    call.ensureBothEndsNotice();
}

Test(PeerEnds, idleLinkIsKeptAliveByPings)
{
    auto io = asio::io_context();
    auto server = RunningCall::settingsOf("server", Duration(10'000));
    auto client = RunningCall::settingsOf("client", Duration(10'000));
    server.idlePingInterval = server.pingInterval;
    client.idlePingInterval = client.pingInterval;
    auto pair = Pair(io, echo, server, client);
    pair.call(callOf("x"));
    const auto before = pair.server.traffic().controlBytesSent;
    // Pongs of two bytes each, well past the three silent intervals that would end the link.
    runUntil(io, [&] { return pair.server.traffic().controlBytesSent >= before + 20; });
    cr_assert_eq(pair.client.links(), 1);
    cr_assert(pair.call(callOf("x")).outcome == Outcome::Answered);
}

Test(PeerEnds, callPastItsDeadlineIsNotSent)
{
    auto io = asio::io_context();
    auto runs = 0;
    auto pair = Pair(io, [&](NodeId, CallRequest, CancellationPtr) -> Task<CallAnswer> {
        ++runs;
        co_return CallAnswer();
    });
    pair.server.setRequestHandler(
            "sync", [](NodeId, std::string it) -> Task<std::string> { co_return it; });
    runTask(io, pair.client.request(pair.node, "sync", "", LongTimeout));
    const auto answer = pair.call(callOf("x", Duration(0)));
    cr_assert(answer.outcome == Outcome::NotRun);
    cr_assert(answer.reason == Reason::DeadlineExceeded);
    runTask(io, pair.client.request(pair.node, "sync", "", LongTimeout));
    cr_assert_eq(runs, 0);
}

Test(PeerEnds, peerThatReadsNothingIsCutOff)
{
    static constexpr auto MostCalls = 20'000;
    auto io = asio::io_context();
    auto few = RunningCall::settingsOf("server", LongTimeout);
    few.maxCallsPerLink = 2;
    auto isCut = false;
    auto runs = 0;
    auto pair = Pair(
            io,
            [&](NodeId, CallRequest request, CancellationPtr it) -> Task<CallAnswer> {
                ++runs;
                auto event = Event(co_await asio::this_coro::executor);
                it->onCancel([&] { event.set(); });
                if (request.body != "wait")
                    co_return CallAnswer{.outcome = Outcome::Answered,
                                         .body = std::string(20'000, 'x')};
                co_await event.wait();
                isCut = true;
                co_return CallAnswer();
            },
            few, RunningCall::settingsOf("client", LongTimeout));
    auto relay = Relay(io, pair.server.port());
    pair.node = "127.0.0.1:" + std::to_string(relay.port());
    auto answers = std::vector<std::optional<CallAnswer>>(MostCalls);
    pair.begin(callOf("wait"), answers[0]);
    runUntil(io, [&] { return runs == 1; });
    relay.stall();
    // The kernel's buffers take the first answers; then they wait at the server, up to its bound.
    for (auto n = 1; n < MostCalls && !isCut; ++n) {
        pair.begin(callOf("large"), answers[n]);
        runUntil(io, [&] { return runs == n + 1 || isCut; });
    }
    cr_assert(isCut);
}

Test(PeerEnds, largeCallsPastTheLimitAreRefusedAndTheLinkLives)
{
    auto io = asio::io_context();
    auto few = settings("server");
    few.maxCallsPerLink = 2;
    auto pair = Pair(io, echo, few);
    auto answers = std::vector<std::optional<CallAnswer>>(6);
    for (auto &it : answers)
        pair.begin(callOf(bodyOf(500'000)), it);
    runUntil(io, [&] {
        return std::all_of(answers.begin(), answers.end(), [](const auto &it) { return !!it; });
    });
    for (const auto &it : answers) {
        const auto isWhole = it->outcome == Outcome::Answered && it->body == bodyOf(500'000);
        const auto isRefused = it->outcome == Outcome::NotRun && it->reason == Reason::QueueFull;
        cr_assert(isWhole || isRefused);
    }
    cr_assert(answers[0]->outcome == Outcome::Answered);
    cr_assert(answers[5]->outcome == Outcome::NotRun);
    cr_assert_eq(pair.client.links(), 1);
}

Test(PeerEnds, linkReleasedWhileItConnectsIsClosed)
{
    auto io = asio::io_context();
    auto acceptor = asio::ip::tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0});
    const auto node = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    auto client = std::make_unique<PeerClient>(io, settings("client"));
    const auto answer = runTask(io, client->call(node, callOf("x", Duration(1000)), nullptr));
    cr_assert(answer.outcome == Outcome::NotRun);
    cr_assert(answer.reason == Reason::DeadlineExceeded);
    client->release(node);
    cr_assert_eq(client->links(), 0);
    client.reset();
    auto socket = acceptor.accept();
    auto isClosed = false;
    auto bytes = std::string();
    asio::async_read(socket, asio::dynamic_buffer(bytes), [&](auto, auto) { isClosed = true; });
    runUntil(io, [&] { return isClosed; });
}
