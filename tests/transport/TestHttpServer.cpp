#include <criterion/criterion.h>

#include <boost/asio/detached.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/transport/HttpServer.h>

#include "Loop.h"

using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

static constexpr auto GoodRequest = std::string_view("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");

static auto echo(HttpRequest request, CancellationPtr) -> Task<HttpResponse>
{
    auto response = HttpResponse{.status = 200, .headers = {}, .body = request.method};
    response.body += " " + request.target + " " + request.body;
    response.headers.add("Connection", "upgrade");
    response.headers.add("X-Split", "a\r\nX-Forged: b");
    co_return response;
}

static auto settings() -> HttpServerSettings
{
    return {.maxHeaderBytes = 512, .maxBodyBytes = 1000};
}

struct BadInput
{
    const char *name;
    std::string bytes;
    const char *status;
    const char *reason;
};

Test(HttpServer, badInputIsAnsweredAndItsConnectionClosed)
{
    const auto cases = std::vector<BadInput>{
            {"no HTTP", "\x16\x03\x01 hello\r\n\r\n", "400", "bad-request"},
            {"no version", "GET /\r\n\r\n", "400", "bad-request"},
            {"bad version", "GET / HTTP/3.7\r\nHost: x\r\n\r\n", "400", "bad-request"},
            {"bad field", "GET / HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n", "400", "bad-request"},
            {"no host", "GET / HTTP/1.1\r\n\r\n", "400", "bad-request"},
            {"two hosts", "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "400", "bad-request"},
            {"bad length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", "400",
             "bad-request"},
            {"two framings",
             "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: "
             "chunked\r\n\r\n0\r\n\r\n",
             "400", "bad-request"},
            {"unknown coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
             "400", "bad-request"},
            {"bad chunk", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
             "400", "bad-request"},
            {"one large field",
             "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(600, 'x') + "\r\n\r\n", "431",
             "too-large"},
            {"endless header", "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(5000, 'x'), "431",
             "too-large"},
            {"large body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", "413",
             "too-large"},
            {"large chunks",
             "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n"
                     + std::string(1001, 'x') + "\r\n0\r\n\r\n",
             "413", "too-large"},
            {"ends early", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", "400",
             "bad-request"},
    };
    auto io = asio::io_context();
    auto server = HttpServer(io, settings(), echo);
    server.start();
    for (const auto &it : cases) {
        auto peer = RawPeer(io, server.port());
        peer.write(it.bytes);
        peer.closeSending();
        const auto answer = peer.readAll();
        cr_assert(answer.starts_with("HTTP/1.1 " + std::string(it.status)), "%s: %s", it.name,
                  answer.c_str());
        cr_assert(answer.find("application/problem+json") != std::string::npos, "%s", it.name);
        cr_assert(answer.find("Stairspur-Reason: " + std::string(it.reason)) != std::string::npos,
                  "%s: %s", it.name, answer.c_str());
        cr_assert(answer.find("Connection: close") != std::string::npos, "%s", it.name);
    }
    runUntil(io, [&] { return server.connections() == 0; });
}

Test(HttpServer, slowRequestIsAnswered408)
{
    auto io = asio::io_context();
    auto slow = settings();
    slow.requestTimeout = Duration(1000);
    auto server = HttpServer(io, slow, echo);
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write("GET / HTTP/1.1\r\nHo");
    cr_assert(peer.readUntil("\r\n").starts_with("HTTP/1.1 408"));
}

Test(HttpServer, idleConnectionIsClosedWithoutAWord)
{
    auto io = asio::io_context();
    auto idle = settings();
    idle.idleTimeout = Duration(1000);
    auto server = HttpServer(io, idle, echo);
    server.start();
    auto peer = RawPeer(io, server.port());
    cr_assert_eq(peer.readAll(), "");
}

Test(HttpServer, pipelinedRequestsAreAnsweredInOrderOnOneConnection)
{
    auto io = asio::io_context();
    auto server = HttpServer(io, settings(), echo);
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write(std::string(GoodRequest)
               + "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n"
                 "PUT /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 1\r\n\r\nz");
    const auto answers = peer.readAll();
    const auto a = answers.find("GET /a ");
    const auto b = answers.find("POST /b hi!");
    const auto c = answers.find("PUT /c z");
    cr_assert(a < b && b < c && c != std::string::npos, "%s", answers.c_str());
    cr_assert(answers.find("Forged") == std::string::npos);
    cr_assert(answers.find("upgrade") == std::string::npos);
}

Test(HttpServer, bytesOfTheNextRequestSurviveARunningHandler)
{
    auto io = asio::io_context();
    auto mayAnswer = Event(io);
    auto isRunning = Event(io);
    auto server = HttpServer(
            io, settings(), [&](HttpRequest request, CancellationPtr) -> Task<HttpResponse> {
                isRunning.set();
                co_await mayAnswer.wait();
                co_return HttpResponse{
                        .status = 200, .headers = {}, .body = "<" + request.target + ">"};
            });
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write(GoodRequest);
    runUntil(io, [&] { return isRunning.isSet(); });
    peer.write("GET /second HT");
    io.poll();
    mayAnswer.set();
    peer.readUntil("</a>");
    peer.write("TP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(peer.readUntil("</second>").ends_with("</second>"));
}

Test(HttpServer, expectedContinueIsSent)
{
    auto io = asio::io_context();
    auto server = HttpServer(io, settings(), echo);
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write("POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    cr_assert_eq(peer.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    peer.write("ok");
    cr_assert(peer.readUntil("POST /b ok").ends_with("POST /b ok"));
}

Test(HttpServer, headAndNoContentHaveNoBody)
{
    auto io = asio::io_context();
    auto server = HttpServer(
            io, settings(), [](HttpRequest request, CancellationPtr) -> Task<HttpResponse> {
                const auto status = request.target == "/none" ? 204U : 200U;
                co_return HttpResponse{.status = status, .headers = {}, .body = "body"};
            });
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n"
               "GET /none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto answers = peer.readAll();
    cr_assert(answers.find("Content-Length: 4") != std::string::npos);
    cr_assert(answers.find("body") == std::string::npos, "%s", answers.c_str());
}

Test(HttpServer, leavingCallerCancelsItsHandler)
{
    auto io = asio::io_context();
    auto isRunning = false;
    auto cancelled = Event(io);
    auto server =
            HttpServer(io, settings(), [&](HttpRequest, CancellationPtr it) -> Task<HttpResponse> {
                isRunning = true;
                it->onCancel([&] { cancelled.set(); });
                co_await cancelled.wait();
                co_return HttpResponse();
            });
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write(std::string(GoodRequest) + "G");
    runUntil(io, [&] { return isRunning; });
    peer.close();
    runUntil(io, [&] { return cancelled.isSet() && server.connections() == 0; });
}

Test(HttpServer, callerThatReadsNothingIsCutOff)
{
    auto io = asio::io_context();
    auto impatient = settings();
    impatient.idleTimeout = Duration(100'000);
    auto isRunning = false;
    auto server =
            HttpServer(io, impatient, [&](HttpRequest, CancellationPtr) -> Task<HttpResponse> {
                isRunning = true;
                auto response = HttpResponse();
                response.body.resize(50'000'000, 'x'); // More than the kernel's buffers hold.
                co_return response;
            });
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write(GoodRequest);
    runUntil(io, [&] { return isRunning; });
    auto isDrained = false;
    server.drain([&] { isDrained = true; });
    runUntil(io, [&] { return isDrained; });
}

Test(HttpServer, connectionsPastTheLimitAreRefused)
{
    auto io = asio::io_context();
    auto few = settings();
    few.maxConnections = 1;
    auto server = HttpServer(io, few, echo);
    server.start();
    auto first = RawPeer(io, server.port());
    first.write(GoodRequest);
    first.readUntil("GET /a");
    auto second = RawPeer(io, server.port());
    const auto answer = second.readUntil("\r\n\r\n");
    cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert(answer.find("too-many-connections") != std::string::npos);
    first.write(GoodRequest);
    first.readUntil("GET /a");
}

Test(HttpServer, throwingHandlerIsAnswered500)
{
    auto io = asio::io_context();
    auto server =
            HttpServer(io, settings(), [](HttpRequest, CancellationPtr) -> Task<HttpResponse> {
                throw Error("broken", "mend it");
                co_return HttpResponse();
            });
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write(GoodRequest);
    cr_assert(peer.readUntil("\r\n").starts_with("HTTP/1.1 500"));
}

Test(HttpServer, drainAnswersRunningRequestsAndClosesIdleConnections)
{
    auto io = asio::io_context();
    auto mayAnswer = Event(io);
    auto always = Event(io);
    always.set();
    auto running = 0;
    auto server = HttpServer(
            io, settings(), [&](HttpRequest request, CancellationPtr) -> Task<HttpResponse> {
                ++running;
                co_await (request.target == "/a" ? mayAnswer : always).wait();
                co_return HttpResponse{.status = 200, .headers = {}, .body = "whole"};
            });
    server.start();
    auto busy = RawPeer(io, server.port());
    auto idle = RawPeer(io, server.port());
    idle.write("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    idle.readUntil("whole");
    busy.write(GoodRequest);
    runUntil(io, [&] { return running == 2; });
    auto isDrained = false;
    server.drain([&] { isDrained = true; });
    cr_assert_eq(idle.readAll(), "");
    cr_assert(!isDrained);
    cr_assert_throw(RawPeer(io, server.port()), boost::system::system_error);
    mayAnswer.set();
    const auto answer = busy.readAll();
    cr_assert(answer.find("Connection: close") != std::string::npos);
    cr_assert(answer.ends_with("whole"));
    runUntil(io, [&] { return isDrained; });
    cr_assert_eq(server.connections(), 0);
}

/// Guards against requests whose connection closes without an answer when the server ends.
Test(HttpServer, endRequestsCancelsRunningRequestsAndAnswersThem)
{
    auto io = asio::io_context();
    auto isCancelled = Event(io);
    auto isRunning = false;
    auto server = HttpServer(
            io, settings(), [&](HttpRequest, CancellationPtr cancellation) -> Task<HttpResponse> {
                isRunning = true;
                cancellation->onCancel([&] { isCancelled.set(); });
                co_await isCancelled.wait();
                co_return HttpResponse{.status = 503, .headers = {}, .body = "not run"};
            });
    server.start();
    auto halfRead = RawPeer(io, server.port());
    halfRead.write("GET /b HTTP/1.1\r\nHo");
    auto busy = RawPeer(io, server.port());
    busy.write(GoodRequest);
    runUntil(io, [&] { return isRunning; });
    auto hasDrained = false;
    server.drain([&] { hasDrained = true; });
    auto hasEnded = false;
    server.endRequests([&] { hasEnded = true; });
    const auto answer = busy.readAll();
    cr_assert(answer.find("Connection: close") != std::string::npos);
    cr_assert(answer.ends_with("not run"));
    cr_assert_eq(halfRead.readAll(), "");
    runUntil(io, [&] { return hasEnded; });
    cr_assert(!hasDrained, "one of the two handlers runs");
    cr_assert_eq(server.connections(), 0);
}

Test(HttpServer, takenPortIsASettingError)
{
    auto io = asio::io_context();
    auto first = HttpServer(io, settings(), echo);
    first.start();
    auto same = settings();
    same.port = first.port();
    auto second = HttpServer(io, same, echo);
    cr_assert_throw(second.start(), SettingError);
}

Test(HttpServer, aClosingServerEndsEachConnectionWithItsNextAnswer)
{
    auto io = asio::io_context();
    auto server = HttpServer(io, settings(), echo);
    server.start();
    server.startClosing();
    auto answer = std::string();
    asio::co_spawn(
            io,
            [&]() -> Task<void> {
                auto socket = asio::ip::tcp::socket(io);
                const auto loopback = asio::ip::address_v4::loopback();
                co_await socket.async_connect({loopback, server.port()}, asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(GoodRequest), asio::use_awaitable);
                auto ec = boost::system::error_code();
                co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                                          asio::redirect_error(asio::use_awaitable, ec));
            },
            asio::detached);
    runUntil(io, [&] { return answer.find("Connection: close") != std::string::npos; });
    cr_assert(answer.starts_with("HTTP/1.1 200"), "a new connection is still served");
}

Test(HttpServer, otherLimitsHoldForOpenConnectionsToo)
{
    auto io = asio::io_context();
    auto server = HttpServer(io, settings(), echo);
    server.start();
    auto answers = std::string();
    auto isFirstAnswered = false;
    asio::co_spawn(
            io,
            [&]() -> Task<void> {
                auto socket = asio::ip::tcp::socket(io);
                const auto loopback = asio::ip::address_v4::loopback();
                co_await socket.async_connect({loopback, server.port()}, asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(GoodRequest), asio::use_awaitable);
                co_await asio::async_read_until(socket, asio::dynamic_buffer(answers), "GET /a ",
                                                asio::use_awaitable);
                auto limits = settings();
                limits.maxBodyBytes = 3;
                server.setLimits(limits);
                isFirstAnswered = true;
                const auto large =
                        std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nfour");
                co_await asio::async_write(socket, asio::buffer(large), asio::use_awaitable);
                co_await asio::async_read_until(socket, asio::dynamic_buffer(answers),
                                                "HTTP/1.1 413", asio::use_awaitable);
            },
            asio::detached);
    runUntil(io, [&] { return answers.find("HTTP/1.1 413") != std::string::npos; });
    cr_assert(isFirstAnswered);
}
