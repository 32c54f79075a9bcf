#include <criterion/criterion.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>

#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/HttpServer.h>

#include "Loop.h"
#include "SilencingRelay.h"

using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

static constexpr auto LongTimeout = Duration(20'000'000);

static auto get(const std::string &target) -> HttpRequest
{
    return {.method = "GET", .target = target, .headers = {}, .body = {}, .remoteAddress = {}};
}

/// What went wrong, or nothing.
static auto failureOf(asio::io_context &io, Task<HttpResponse> task) -> std::optional<HttpFailure>
{
    try {
        runTask(io, std::move(task));
    } catch (const HttpClientError &error) {
        return error.failure();
    }
    return std::nullopt;
}

/// Answers each connection's first request with fixed bytes, then closes it unless it is to stay.
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &io, std::string bytes, bool isKept)
        : m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
        , m_bytes(std::move(bytes))
        , m_isKept(isKept)
    {
        asio::co_spawn(io, run(), asio::detached);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] auto requests() const -> int { return m_requests; }
    auto closeKept() -> void { m_kept.clear(); }

private:
    auto run() -> Task<void>
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            auto request = std::string();
            co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                            asio::use_awaitable);
            ++m_requests;
            co_await asio::async_write(socket, asio::buffer(m_bytes), asio::use_awaitable);
            if (m_isKept)
                m_kept.push_back(std::move(socket));
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_bytes;
    bool m_isKept;
    int m_requests = 0;
    std::vector<asio::ip::tcp::socket> m_kept;
};

Test(HttpClient, keptConnectionCarriesManyRequests)
{
    auto io = asio::io_context();
    auto server =
            HttpServer(io, {}, [](HttpRequest request, CancellationPtr) -> Task<HttpResponse> {
                auto response = HttpResponse{.status = 201, .headers = {}, .body = request.body};
                response.headers.add("X-Seen", std::string(request.headers.find("x-sent")));
                co_return response;
            });
    server.start();
    auto client = HttpClient(io, {.port = server.port()});
    const auto body = std::string(3'000'000, 'b');
    for (auto n = 0; n < 3; ++n) {
        auto request = get("/");
        request.method = "POST";
        request.body = body;
        request.headers.add("X-Sent", "yes");
        const auto response = runTask(io, client.send(request, LongTimeout, nullptr));
        cr_assert_eq(response.status, 201);
        cr_assert_eq(response.headers.find("X-Seen"), "yes");
        cr_assert(response.body == body);
        cr_assert_eq(server.connections(), 1);
    }
}

Test(HttpClient, brokenAnswersAreTold)
{
    const auto cases = std::vector<std::pair<const char *, std::string>>{
            {"nothing", ""},
            {"no HTTP", "hello\r\n\r\n"},
            {"truncated head", "HTTP/1.1 200 OK\r\nContent-Le"},
            {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"},
            {"truncated chunks",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
            {"too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x')},
            {"too large chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n"
                                         + std::string(101, 'x') + "\r\n0\r\n\r\n"},
            {"switched", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
    };
    for (const auto &[name, bytes] : cases) {
        auto io = asio::io_context();
        auto server = ScriptedServer(io, bytes, false);
        auto client = HttpClient(io, {.port = server.port(), .maxAnswerBytes = 100});
        const auto failure = failureOf(io, client.send(get("/"), LongTimeout, nullptr));
        cr_assert(failure == HttpFailure::Broken, "%s", name);
        cr_assert_eq(server.requests(), 1, "%s was sent %d times", name, server.requests());
    }
}

Test(HttpClient, interimAnswersArePassedOver)
{
    auto io = asio::io_context();
    auto server = ScriptedServer(io,
                                 "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                                 true);
    auto client = HttpClient(io, {.port = server.port()});
    const auto response = runTask(io, client.send(get("/"), LongTimeout, nullptr));
    cr_assert_eq(response.status, 200);
    cr_assert_eq(response.body, "ok");
}

Test(HttpClient, closedKeptConnectionIsReplacedBeforeUse)
{
    auto io = asio::io_context();
    auto server = ScriptedServer(io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
    auto client = HttpClient(io, {.port = server.port()});
    runTask(io, client.send(get("/"), LongTimeout, nullptr));
    server.closeKept();
    const auto response = runTask(io, client.send(get("/"), LongTimeout, nullptr));
    cr_assert_eq(response.body, "ok");
    cr_assert_eq(server.requests(), 2);
}

Test(HttpClient, closedPortIsNotConnected)
{
    auto io = asio::io_context();
    auto port = std::uint16_t{0};
    {
        const auto acceptor = asio::ip::tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0});
        port = acceptor.local_endpoint().port();
    }
    auto client = HttpClient(io, {.port = port});
    cr_assert(failureOf(io, client.send(get("/"), LongTimeout, nullptr))
              == HttpFailure::NotConnected);
}

Test(HttpClient, timeoutAndCancellationCloseTheConnection)
{
    auto io = asio::io_context();
    auto cancelledHandlers = 0;
    auto cancellation = std::make_shared<Cancellation>();
    auto server =
            HttpServer(io, {}, [&](HttpRequest request, CancellationPtr it) -> Task<HttpResponse> {
                auto gone = Event(io);
                it->onCancel([&] { gone.set(); });
                if (request.target == "/cancel")
                    cancellation->cancel();
                co_await gone.wait();
                ++cancelledHandlers;
                co_return HttpResponse();
            });
    server.start();
    auto client = HttpClient(io, {.port = server.port()});
    cr_assert(failureOf(io, client.send(get("/"), Duration(500'000), nullptr))
              == HttpFailure::TimedOut);
    cr_assert(failureOf(io, client.send(get("/cancel"), LongTimeout, cancellation))
              == HttpFailure::Cancelled);
    runUntil(io, [&] { return cancelledHandlers == 2 && server.connections() == 0; });
    cr_assert(failureOf(io, client.send(get("/"), LongTimeout, cancellation))
              == HttpFailure::NotConnected);
}

Test(HttpClient, requestThatWouldSplitIsRefused)
{
    auto io = asio::io_context();
    auto client = HttpClient(io, {.port = 1});
    auto request = get("/ HTTP/1.1\r\nX: y");
    cr_assert_throw(runTask(io, client.send(request, LongTimeout, nullptr)), InputError);
    request = get("/");
    request.headers.add("X", "a\r\nY: b");
    cr_assert_throw(runTask(io, client.send(request, LongTimeout, nullptr)), InputError);
}

/// An answer with an id, as a server sends it that names the request.
static auto answerWithId(const std::string &id, const std::string &more = {}) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "Content-Length: 2\r\n\r\nok";
}

static auto idIn(const HeaderList &headers) -> std::string_view
{
    return headers.find("X-Id");
}

Test(HttpClient, anAnswerToAnotherRequestIsPassedOver)
{
    struct
    {
        const char *name;
        std::string bytes;
        std::optional<HttpFailure> failure;
    } const cases[] = {
            {"own", answerWithId("own"), std::nullopt},
            {"late one first", answerWithId("old") + answerWithId("own"), std::nullopt},
            {"only a late one, then the end", answerWithId("old", "Connection: close\r\n"),
             HttpFailure::Broken},
            {"many late ones",
             answerWithId("1") + answerWithId("2") + answerWithId("3") + answerWithId("own"),
             HttpFailure::Broken},
    };
    for (const auto &it : cases) {
        auto io = asio::io_context();
        auto server = ScriptedServer(io, it.bytes, true);
        auto client = HttpClient(io, {.port = server.port(), .echoedId = idIn});
        auto request = get("/");
        request.headers.set("X-Id", "own");
        const auto failure = failureOf(io, client.send(request, LongTimeout, nullptr));
        cr_expect(failure == it.failure, "%s", it.name);
    }
}

Test(HttpClient, aConnectionThatTheServerIsAboutToCloseIsNotUsed)
{
    auto io = asio::io_context();
    // The announced idle limit is shorter than the margin before which a connection is given up.
    auto server = ScriptedServer(
            io, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", true);
    auto client = HttpClient(io, {.port = server.port()});
    for (auto n = 0; n < 2; ++n)
        cr_assert(!failureOf(io, client.send(get("/"), LongTimeout, nullptr)));
    cr_assert_eq(server.requests(), 2, "each request came on a connection of its own");
}

/// Answers requests on connections that it accepts, until it falls silent on those that are open. New ones work.
class ForgetfulServer
{
public:
    explicit ForgetfulServer(asio::io_context &io)
        : m_io(io)
        , m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(io, acceptAll(), asio::detached);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] auto connections() const -> int { return m_connections; }
    auto forgetOpenOnes() -> void { m_forgotten = m_connections; }
    /// Answers are held back until this many requests wait, so that each has a connection of its own.
    auto holdUntil(int requests) -> void { m_held = requests; }

private:
    auto acceptAll() -> Task<void>
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_io, serve(std::move(socket), ++m_connections), asio::detached);
        }
    }

    auto serve(asio::ip::tcp::socket socket, int number) -> Task<void>
    {
        auto timer = asio::steady_timer(m_io);
        while (true) {
            auto request = std::string();
            const auto [ec, n] = co_await asio::async_read_until(
                    socket, asio::dynamic_buffer(request), "\r\n\r\n",
                    asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
            ++m_requests;
            while (m_requests < m_held || number <= m_forgotten) {
                timer.expires_after(std::chrono::milliseconds(1));
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await asio::async_write(
                    socket,
                    asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                    asio::use_awaitable);
        }
    }

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    int m_connections = 0;
    int m_forgotten = 0;
    int m_requests = 0;
    int m_held = 0;
};

Test(HttpClient, afterOneSilentKeptConnectionTheOthersAreNotTrusted)
{
    auto io = asio::io_context();
    auto server = ForgetfulServer(io);
    auto client = HttpClient(io, {.address = "127.0.0.1", .port = server.port()});
    server.holdUntil(3);
    auto answered = 0;
    for (auto n = 0; n < 3; ++n) {
        asio::co_spawn(io, client.send(get("/"), LongTimeout, nullptr),
                       [&](const std::exception_ptr &, const HttpResponse &) { ++answered; });
    }
    runUntil(io, [&] { return answered == 3; });
    cr_assert_eq(server.connections(), 3);
    server.forgetOpenOnes();
    cr_assert(failureOf(io, client.send(get("/"), Duration(50'000), nullptr))
              == HttpFailure::TimedOut);
    cr_assert(!failureOf(io, client.send(get("/"), LongTimeout, nullptr)),
              "the next request goes on a new connection");
    cr_assert_eq(server.connections(), 4);
}

Test(HttpClient, connectionsThatAreTooOldForARequestDoNotPileUp)
{
    auto io = asio::io_context();
    auto server = HttpServer(io, {}, [](HttpRequest, CancellationPtr) -> Task<HttpResponse> {
        co_return HttpResponse{.status = 200, .headers = {}, .body = "x"};
    });
    server.start();
    auto relay = SilencingRelay(io, server.port());
    auto client = HttpClient(io, {.port = relay.port()});
    for (auto n = 0; n < 5; ++n)
        runTask(io, client.send(get("/"), LongTimeout, nullptr, Duration::zero()));
    cr_assert_eq(relay.accepted(), 5);
    runUntil(io, [&] { return relay.open() == 1; });
}
