#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>

#include <stairspur/core/Random.h>
#include <stairspur/transport/HttpClient.h>

#include "Loop.h"

/// Second answers that arrive late on kept connections, as a faulty backend server sends them.
using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

static constexpr auto LongTimeout = Duration(20'000'000);
static constexpr auto IdField = "X-Id";
/// Number of the send, which the server does not interpret: it tells the test which send a response was made for.
static constexpr auto SendField = "X-Send";

/// What the server sends again after an answer.
enum class Copy {
    None,
    WithNextAnswer, ///< Before the connection's next answer.
    TwiceWithNextAnswer,
    AtOnce,     ///< Right after the answer, while the connection is idle.
    AfterHints, ///< Before the next answer, after an interim one.
    WithoutId,
    BrokenOff, ///< The connection ends in the middle of the copy.
};
static constexpr auto Copies =
        std::array{Copy::None,   Copy::None,       Copy::WithNextAnswer, Copy::TwiceWithNextAnswer,
                   Copy::AtOnce, Copy::AfterHints, Copy::WithoutId,      Copy::BrokenOff};

/// A server that rejects or runs each request and sends some of its answers again.
class RepeatingServer
{
public:
    explicit RepeatingServer(asio::io_context &io)
        : m_io(io)
        , m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(io, acceptAll(), asio::detached);
    }

    struct Step
    {
        bool isRejected = false;
        Copy copy = Copy::None;
    };

    /// Sets what happens to the next requests, in the order of their arrival. Further ones run and are answered once.
    auto setSteps(std::vector<Step> steps) -> void
    {
        m_steps = std::move(steps);
        m_nextStep = 0;
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] auto connections() const -> int { return m_connections; }

private:
    static constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

    auto acceptAll() -> Task<void>
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++m_connections;
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
        }
    }

    static auto fieldOf(const std::string &request, const std::string &name) -> std::string
    {
        const auto begin = request.find(name + ": ") + name.size() + 2;
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }

    static auto makeAnswer(const std::string &request, bool isRejected, bool hasId) -> std::string
    {
        const auto body = fieldOf(request, SendField);
        return std::string(isRejected ? "HTTP/1.1 503 Full\r\n" : "HTTP/1.1 200 OK\r\n")
               + (hasId ? IdField + std::string(": ") + fieldOf(request, IdField) + "\r\n"
                        : std::string())
               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// What follows the answer `whole`: bytes before the connection's next answer.
    static auto makeCopy(const std::string &request, const Step &step, const std::string &whole)
            -> std::string
    {
        switch (step.copy) {
        case Copy::WithNextAnswer:
            return whole;
        case Copy::TwiceWithNextAnswer:
            return whole + whole;
        case Copy::AfterHints:
            return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + whole;
        case Copy::WithoutId:
            return makeAnswer(request, step.isRejected, false);
        case Copy::BrokenOff:
            return whole.substr(0, whole.size() - 1);
        case Copy::None:
        case Copy::AtOnce:
            break;
        }
        return {};
    }

    auto takeStep() -> Step { return m_nextStep < m_steps.size() ? m_steps[m_nextStep++] : Step(); }

    auto serve(asio::ip::tcp::socket socket) -> Task<void>
    {
        auto late = std::string();
        auto former = Step();
        while (true) {
            auto request = std::string();
            const auto [ec, n] = co_await asio::async_read_until(
                    socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
            if (ec)
                co_return;
            const auto isBrokenOff = former.copy == Copy::BrokenOff;
            const auto step = takeStep();
            const auto whole = makeAnswer(request, step.isRejected, true);
            auto bytes = std::exchange(late, makeCopy(request, step, whole));
            if (!isBrokenOff)
                bytes += whole;
            if (step.copy == Copy::AtOnce)
                bytes += whole;
            const auto [writeError, written] =
                    co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
            if (writeError || isBrokenOff)
                co_return;
            former = step;
        }
    }

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<Step> m_steps;
    std::size_t m_nextStep = 0;
    int m_connections = 0;
};

class LateAnswers
{
public:
    LateAnswers()
        : server(m_io)
        , m_client(m_io, settings(server.port()))
    {}

    /// Sends a request with this id, and returns the response; nothing if the connection broke.
    auto send(const std::string &id) -> std::optional<HttpResponse>
    {
        auto request = HttpRequest();
        request.method = "GET";
        request.target = "/";
        request.headers.set(IdField, id);
        request.headers.set(SendField, std::to_string(++m_sends));
        try {
            return runTask(m_io, m_client.send(std::move(request), LongTimeout, nullptr));
        } catch (const HttpClientError &error) {
            cr_assert(error.failure() == HttpFailure::Broken);
            return std::nullopt;
        }
    }

    /// The number of the last send, which its answer has as its body.
    [[nodiscard]] auto lastSend() const -> std::string { return std::to_string(m_sends); }

private:
    static auto settings(std::uint16_t port) -> HttpClientSettings
    {
        auto settings = HttpClientSettings();
        settings.port = port;
        settings.echoedId = [](const HeaderList &headers) { return headers.find(IdField); };
        return settings;
    }

    asio::io_context m_io;
    int m_sends = 0;

public:
    RepeatingServer server;

private:
    HttpClient m_client;
};

/// Guards against a request that is sent again and gets the late copy of its own rejection, while the server runs it.
Test(LateAnswers, aRejectionIsNotTheAnswerToTheNextSendOfTheSameRequest)
{
    auto test = LateAnswers();
    test.server.setSteps({{true, Copy::WithNextAnswer}, {false, Copy::None}});
    cr_assert_eq(test.send("order")->status, 503);
    const auto response = test.send("order");
    cr_assert(response.has_value());
    cr_expect_eq(response->status, 200, "the server ran the second send");
    cr_expect(response->body == test.lastSend(), "answer to send %s", response->body.c_str());
}

/// Guards against an answer without an id that is taken for that of the request in whose place it arrives.
Test(LateAnswers, anAnswerWithoutAnIdCountsOnlyOnAConnectionThatCarriedNothingElse)
{
    auto test = LateAnswers();
    test.server.setSteps({{true, Copy::WithoutId}, {false, Copy::None}});
    cr_assert_eq(test.send("first")->status, 503);
    cr_assert(!test.send("second").has_value(), "nobody can say whose answer that is");
}

/// Guards against each order of sends, rejections, answers and copies in which one send gets the answer to another.
Test(LateAnswers, eachSendGetsItsOwnAnswerWhateverArrivesLate)
{
    static constexpr auto Seeds = 60;
    static constexpr auto StepsPerSeed = 40;
    static constexpr auto RequestCount = 3;
    for (auto seed = std::uint64_t{1}; seed <= Seeds; ++seed) {
        auto random = Random(seed);
        auto test = LateAnswers();
        auto steps = std::vector<RepeatingServer::Step>();
        for (auto n = 0; n < StepsPerSeed; ++n)
            steps.push_back(
                    {randomBelow(random, 2) == 0, Copies.at(randomBelow(random, Copies.size()))});
        test.server.setSteps(steps);
        auto answered = 0;
        for (auto n = 0; n < StepsPerSeed; ++n) {
            const auto response =
                    test.send("r" + std::to_string(randomBelow(random, RequestCount)));
            if (!response)
                continue;
            ++answered;
            cr_assert(response->body == test.lastSend(), "seed %llu: send %s got the answer to %s",
                      static_cast<unsigned long long>(seed), test.lastSend().c_str(),
                      response->body.c_str());
        }
        cr_assert_gt(answered, StepsPerSeed / 2, "seed %llu",
                     static_cast<unsigned long long>(seed));
    }
}

/// Guards against a new connection for each request where nothing is sent twice.
Test(LateAnswers, differentRequestsShareAConnection)
{
    static constexpr auto RequestCount = 200;
    auto test = LateAnswers();
    for (auto n = 0; n < RequestCount; ++n)
        cr_assert_eq(test.send(std::to_string(n))->status, 200);
    cr_assert_eq(test.server.connections(), 1);
}

/// Guards against a new connection for each request that is sent again.
Test(LateAnswers, repeatsUseTheConnectionsOfEarlierOnes)
{
    static constexpr auto RequestCount = 100;
    static constexpr auto SendsPerRequest = 3;
    auto test = LateAnswers();
    auto steps = std::vector<RepeatingServer::Step>();
    for (auto n = 0; n < RequestCount * SendsPerRequest; ++n)
        steps.push_back({n % SendsPerRequest + 1 < SendsPerRequest, Copy::None});
    test.server.setSteps(steps);
    for (auto n = 0; n < RequestCount; ++n) {
        for (auto send = 1; send < SendsPerRequest; ++send)
            cr_assert_eq(test.send(std::to_string(n))->status, 503);
        cr_assert_eq(test.send(std::to_string(n))->status, 200);
    }
    cr_assert_eq(test.server.connections(), SendsPerRequest);
}
