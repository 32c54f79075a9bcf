#include <criterion/criterion.h>

#include <boost/asio/this_coro.hpp>

#include <stairspur/core/Error.h>

#include "PeerPair.h"

using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

Test(Peers, bodiesOfEverySizeComeBackWhole)
{
    auto io = asio::io_context();
    auto pair = Pair(io, echo);
    const std::size_t sizes[] = {0, 1, 999, 1000, 1001, 2000, 65'536, 1'000'000};
    for (const auto n : sizes) {
        const auto answer = pair.call(callOf(bodyOf(n)));
        cr_assert(answer.outcome == Outcome::Answered, "%zu bytes", n);
        cr_assert(answer.body == bodyOf(n), "%zu bytes", n);
        cr_assert_eq(answer.headers.find("from"), "client");
        cr_assert_eq(answer.headers.find("service"), "order");
        cr_assert_eq(answer.report->limit, 2);
    }
    cr_assert_eq(pair.client.links(), 1);
    const auto traffic = pair.client.traffic();
    cr_assert_gt(traffic.callBytesSent, 1'068'537);
    cr_assert_eq(traffic.callBytesReceived, pair.server.traffic().callBytesSent);
    cr_assert_eq(traffic.callBytesSent, pair.server.traffic().callBytesReceived);
    cr_assert_lt(traffic.controlBytesSent, 2000);
}

Test(Peers, answersComeInAnyOrder)
{
    auto io = asio::io_context();
    auto events = std::vector<std::unique_ptr<Event>>();
    auto pair =
            Pair(io, [&](NodeId from, CallRequest request, CancellationPtr it) -> Task<CallAnswer> {
                const auto index = static_cast<std::size_t>(request.body[0] - '0');
                co_await events[index]->wait();
                co_return co_await echo(from, std::move(request), it);
            });
    auto answers = std::vector<std::optional<CallAnswer>>(5);
    for (auto index = 0; index < 5; ++index)
        events.push_back(std::make_unique<Event>(io));
    for (auto index = 0; index < 5; ++index)
        pair.begin(callOf(std::to_string(index)), answers[index]);
    for (const auto index : {3, 1, 4, 0, 2}) {
        events[index]->set();
        runUntil(io, [&] { return answers[index].has_value(); });
        cr_assert_eq(answers[index]->body, std::to_string(index));
    }
    cr_assert_eq(pair.client.traffic().droppedAnswers, 0);
}

Test(Peers, smallCallOvertakesALargeBody)
{
    auto io = asio::io_context();
    auto order = std::vector<std::size_t>();
    auto pair =
            Pair(io, [&](NodeId from, CallRequest request, CancellationPtr it) -> Task<CallAnswer> {
                order.push_back(request.body.size());
                co_return co_await echo(from, std::move(request), it);
            });
    pair.call(callOf("opens the link"));
    order.clear();
    auto large = std::optional<CallAnswer>();
    auto small = std::optional<CallAnswer>();
    pair.begin(callOf(bodyOf(1'000'000)), large);
    pair.begin(callOf("small"), small);
    runUntil(io, [&] { return large && small; });
    cr_assert_eq(order.front(), 5);
    cr_assert(large->body == bodyOf(1'000'000));
}

Test(Peers, deadlineEndsTheCallAndCancelsItAtTheFarEnd)
{
    auto io = asio::io_context();
    auto isCancelled = false;
    auto pair = Pair(io, [&](NodeId, CallRequest, CancellationPtr it) -> Task<CallAnswer> {
        auto event = Event(co_await asio::this_coro::executor);
        it->onCancel([&] { event.set(); });
        co_await event.wait();
        isCancelled = true;
        co_return CallAnswer{.outcome = Outcome::Answered};
    });
    pair.server.setRequestHandler(
            "sync", [](NodeId, std::string it) -> Task<std::string> { co_return it; });
    // The link is opened without a deadline, so that the call is surely sent before its own.
    runTask(io, pair.client.request(pair.node, "sync", "", LongTimeout));
    const auto answer = pair.call(callOf("x", Duration(300'000)));
    cr_assert(answer.outcome == Outcome::Unknown);
    cr_assert(answer.reason == Reason::DeadlineExceeded);
    cr_assert(answer.wasDispatched);
    cr_assert_eq(answer.unspentBudget, 0);
    runUntil(io, [&] { return isCancelled; });
}

Test(Peers, cancellationReachesTheFarEnd)
{
    auto io = asio::io_context();
    auto cancellation = std::make_shared<Cancellation>();
    auto isCancelled = false;
    auto pair = Pair(io, [&](NodeId, CallRequest, CancellationPtr it) -> Task<CallAnswer> {
        auto event = Event(co_await asio::this_coro::executor);
        it->onCancel([&] { event.set(); });
        cancellation->cancel();
        co_await event.wait();
        isCancelled = true;
        co_return CallAnswer{.outcome = Outcome::Answered};
    });
    const auto answer = pair.call(callOf("x"), cancellation);
    cr_assert(answer.outcome == Outcome::Unknown);
    cr_assert(answer.reason == Reason::Cancelled);
    runUntil(io, [&] { return isCancelled; });
    cr_assert(pair.call(callOf("x"), cancellation).outcome == Outcome::NotRun);
}

Test(Peers, tooLargeBodiesAreNotRun)
{
    auto io = asio::io_context();
    auto larger = settings("client");
    larger.maxBodyBytes = 2'000'000;
    auto runs = 0;
    auto pair = Pair(
            io,
            [&](NodeId from, CallRequest request, CancellationPtr it) -> Task<CallAnswer> {
                ++runs;
                co_return co_await echo(from, std::move(request), it);
            },
            settings("server"), larger);
    for (const auto n : {2'000'001, 1'000'001}) {
        const auto answer = pair.call(callOf(bodyOf(n)));
        cr_assert(answer.outcome == Outcome::NotRun);
        cr_assert(answer.reason == Reason::TooLarge);
    }
    cr_assert_eq(runs, 0);
    cr_assert(pair.call(callOf(bodyOf(1'000'000))).outcome == Outcome::Answered);
    auto request = callOf("");
    request.headers.add("X", bodyOf(200'000));
    cr_assert(pair.call(request).reason == Reason::TooLarge);
}

Test(Peers, tooManyCallsAreNotRun)
{
    auto io = asio::io_context();
    auto few = settings("server");
    few.maxCallsPerLink = 1;
    auto mayAnswer = Event(io);
    auto running = 0;
    auto pair = Pair(
            io,
            [&](NodeId from, CallRequest request, CancellationPtr it) -> Task<CallAnswer> {
                ++running;
                co_await mayAnswer.wait();
                co_return co_await echo(from, std::move(request), it);
            },
            few);
    auto first = std::optional<CallAnswer>();
    pair.begin(callOf("1"), first);
    runUntil(io, [&] { return running == 1; });
    const auto second = pair.call(callOf("2"));
    cr_assert(second.outcome == Outcome::NotRun);
    cr_assert(second.reason == Reason::QueueFull);
    mayAnswer.set();
    runUntil(io, [&] { return first.has_value(); });
    cr_assert(first->outcome == Outcome::Answered);
}

Test(Peers, throwingHandlerIsUnknown)
{
    auto io = asio::io_context();
    auto pair = Pair(io, [](NodeId, CallRequest, CancellationPtr) -> Task<CallAnswer> {
        throw Error("broken", "mend it");
        co_return CallAnswer();
    });
    cr_assert(pair.call(callOf("x")).outcome == Outcome::Unknown);
}

Test(Peers, unreachableNodeIsNotRunAtOnceWhileItsLinkRests)
{
    auto io = asio::io_context();
    auto pair = Pair(io, echo);
    auto port = std::uint16_t{0};
    {
        const auto acceptor = asio::ip::tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0});
        port = acceptor.local_endpoint().port();
    }
    const NodeId nodes[] = {"127.0.0.1:" + std::to_string(port), "nonsense", "127.0.0.1:x"};
    for (const auto &node : nodes) {
        for (auto n = 0; n < 2; ++n) {
            const auto answer = runTask(io, pair.client.call(node, callOf("x"), nullptr));
            cr_assert(answer.outcome == Outcome::NotRun);
            cr_assert(answer.reason == Reason::LinkLost);
            cr_assert_eq(answer.unspentBudget, 5);
            cr_assert(!answer.wasDispatched);
        }
    }
    cr_assert_eq(pair.client.links(), 0);
}

Test(Peers, whoeverObservesLinksHearsOfOnesThatAreLostAndBack)
{
    auto io = asio::io_context();
    auto told = std::vector<bool>();
    auto pair = std::make_unique<Pair>(io, echo);
    const auto node = pair->node;
    auto client = PeerClient(io, settings("observed"));
    client.setLinkObserver([&](const NodeId &of, bool isReachable) {
        cr_assert_eq(of, node);
        told.push_back(isReachable);
    });
    const auto port = pair->server.port();
    cr_assert(runTask(io, client.call(node, callOf("a"), nullptr)).outcome == Outcome::Answered);
    cr_assert(told.empty(), "a link that opens at once is no news");
    pair.reset();
    runUntil(io, [&] { return !told.empty() || client.links() == 0; });
    runTask(io, client.call(node, callOf("b"), nullptr));
    runUntil(io, [&] { return !told.empty(); });
    cr_assert_eq(told, std::vector<bool>{false});
    auto server = PeerServer(io, "127.0.0.1", port, settings("server"));
    server.setCallHandler(echo);
    server.start();
    runUntil(io, [&] { return told.size() == 2; });
    cr_assert_eq(told.back(), true);
    cr_assert(runTask(io, client.call(node, callOf("c"), nullptr)).outcome == Outcome::Answered);
}

Test(Peers, wrongSecretOpensNoLink)
{
    auto io = asio::io_context();
    const std::string secrets[] = {"other", ""};
    for (const auto &it : secrets) {
        auto wrong = settings("client");
        wrong.secret = it;
        auto pair = Pair(io, echo, settings("server"), wrong);
        const auto answer = pair.call(callOf("x"));
        cr_assert(answer.outcome == Outcome::NotRun);
        cr_assert(answer.reason == Reason::LinkLost);
        cr_assert_throw(runTask(io, pair.client.request(pair.node, "t", "", LongTimeout)),
                        PeerError);
    }
}

Test(Peers, requestsAreAnsweredOrThrow)
{
    auto io = asio::io_context();
    auto pair = Pair(io, echo);
    pair.server.setRequestHandler("echo", [](NodeId from, std::string it) -> Task<std::string> {
        co_return from + " " + it;
    });
    pair.server.setRequestHandler("throw", [](NodeId, std::string) -> Task<std::string> {
        throw Error("no such section", "ask for another");
        co_return "";
    });
    const auto large = bodyOf(500'000);
    cr_assert(runTask(io, pair.client.request(pair.node, "echo", large, LongTimeout))
              == "client " + large);
    cr_assert_eq(pair.client.traffic().callBytesSent, 0);
    cr_assert_gt(pair.client.traffic().controlBytesSent, 500'000);
    const std::pair<const char *, const char *> cases[] = {{"throw", "no such section"},
                                                           {"absent", "no handler"}};
    for (const auto &[topic, message] : cases) {
        try {
            runTask(io, pair.client.request(pair.node, topic, "", LongTimeout));
            cr_assert(false, "%s did not throw", topic);
        } catch (const PeerError &error) {
            cr_assert(error.wasSent());
            cr_assert(std::string(error.what()).find(message) != std::string::npos);
        }
    }
}

Test(Peers, drainAnswersRunningCallsThenCloses)
{
    auto io = asio::io_context();
    auto mayAnswer = Event(io);
    auto running = 0;
    auto pair =
            Pair(io, [&](NodeId from, CallRequest request, CancellationPtr it) -> Task<CallAnswer> {
                ++running;
                co_await mayAnswer.wait();
                co_return co_await echo(from, std::move(request), it);
            });
    auto first = std::optional<CallAnswer>();
    pair.begin(callOf(bodyOf(300'000)), first);
    runUntil(io, [&] { return running == 1; });
    auto isDrained = false;
    pair.server.drain([&] { isDrained = true; });
    const auto second = pair.call(callOf("late"));
    cr_assert(second.outcome == Outcome::NotRun);
    cr_assert(second.reason == Reason::Draining);
    cr_assert(!isDrained);
    mayAnswer.set();
    runUntil(io, [&] { return first && isDrained && pair.client.links() == 0; });
    cr_assert(first->body == bodyOf(300'000));
    cr_assert(pair.call(callOf("later")).outcome == Outcome::NotRun);
}

Test(Peers, releaseClosesAfterTheLastCall)
{
    auto io = asio::io_context();
    auto mayAnswer = Event(io);
    auto running = 0;
    auto pair =
            Pair(io, [&](NodeId from, CallRequest request, CancellationPtr it) -> Task<CallAnswer> {
                ++running;
                co_await mayAnswer.wait();
                co_return co_await echo(from, std::move(request), it);
            });
    auto first = std::optional<CallAnswer>();
    pair.begin(callOf("1"), first);
    runUntil(io, [&] { return running == 1; });
    pair.client.release(pair.node);
    cr_assert_eq(pair.client.links(), 0);
    mayAnswer.set();
    auto isDrained = false;
    runUntil(io, [&] { return first.has_value(); });
    cr_assert(first->outcome == Outcome::Answered);
    // The server has no link left to wait for once the released one has closed.
    pair.server.drain([&] { isDrained = true; });
    runUntil(io, [&] { return isDrained; });
}

Test(Peers, endOfTheClientCancelsItsCalls)
{
    auto io = asio::io_context();
    auto server = PeerServer(io, "127.0.0.1", 0, settings("server"));
    auto running = 0;
    auto isCancelled = false;
    server.setCallHandler([&](NodeId, CallRequest, CancellationPtr it) -> Task<CallAnswer> {
        auto event = Event(io);
        it->onCancel([&] { event.set(); });
        ++running;
        co_await event.wait();
        isCancelled = true;
        co_return CallAnswer();
    });
    server.start();
    auto client = std::make_unique<PeerClient>(io, settings("client"));
    auto answer = std::optional<CallAnswer>();
    asio::co_spawn(io,
                   client->call("127.0.0.1:" + std::to_string(server.port()), callOf("x"), nullptr),
                   [&](const std::exception_ptr &, CallAnswer it) { answer = std::move(it); });
    runUntil(io, [&] { return running == 1; });
    client.reset();
    runUntil(io, [&] { return isCancelled && answer; });
    cr_assert(answer->outcome == Outcome::Unknown);
    cr_assert(answer->reason == Reason::LinkLost);
}
