#include <array>
#include <map>
#include <random>

#include "../standins/platform/MalformedAnswers.h"
#include "../standins/platform/ScriptedUpstream.h"
#include "ProcessFleet.h"

/// Real processes: answers of backend servers that are cut off or malformed reach no client.
using namespace stairspur;
using namespace stairspur::platform;
using standin::Ending;
using standin::Script;
using standin::ScriptedUpstream;
using Clock = std::chrono::steady_clock;
using Fleet = BasicProcessFleet<ScriptedUpstream>;

/// The routes of MenuConfiguration with room for uploads that exceed the socket buffers.
static constexpr auto UploadConfiguration = R"({"version": 7, "routes": {
"views": {"host": "a.example", "prefix": "/v/", "kind": "safe", "timeout_s": 20, "target_latency_s": 1.2, "priority": 1,
  "service": "menu", "max_attempts": 2},
"orders": {"host": "a.example", "prefix": "/o/", "kind": "unsafe", "timeout_s": 20, "target_latency_s": 1.5, "priority": 0,
  "service": "menu", "max_attempts": 2}},
"services": {"menu": {"health_path": "/health", "max_connections": 634}},
"limits": {"max_header_bytes": 4096, "max_body_bytes": 16777216, "header_timeout_s": 3, "idle_timeout_s": 15}})";

static constexpr auto UploadBytes = std::size_t{6} << 20U;

/// What a client got for one request.
struct Received
{
    unsigned status = 0; ///< 0 without a response.
    std::string body;
    int sends = 0; ///< How many times the request reached a backend server.
    std::chrono::milliseconds duration{0};
};

/// Three hosts whose backend servers all follow one script.
class ScriptedFleet
{
public:
    explicit ScriptedFleet(int network)
        : m_fleet(network, UploadConfiguration)
    {}

    /// Sends one request through a node while the backend servers follow `script`. A request that a node refuses because it
    /// passes over backend servers that have just failed is sent anew.
    auto send(const Script &script, const std::string &target, std::size_t bodyBytes) -> Received
    {
        static constexpr auto MaxTries = 20;
        auto received = Received();
        for (auto n = 0; n < MaxTries && received.sends == 0; ++n) {
            awaitService();
            setScript(script);
            received = sendOnce(target, bodyBytes);
        }
        return received;
    }

    /// Expects that no node has ended.
    auto expectAllRunning() -> void
    {
        for (auto &it : m_fleet.hosts)
            cr_expect(!it.node->hasEnded());
    }

private:
    auto sendOnce(const std::string &target, std::size_t bodyBytes) -> Received
    {
        const auto &host = m_fleet.hosts[m_requests % m_fleet.hosts.size()];
        const auto before = arrivals();
        const auto begin = Clock::now();
        const auto response = exchange(host.address, EntryPort, request(target, bodyBytes));
        auto received = Received();
        received.duration =
                std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
        received.sends = arrivals() - before;
        if (response) {
            received.status = response->result_int();
            received.body = response->body();
        }
        return received;
    }

    /// Waits until each node serves requests with sound answers, whatever the answers before have made it conclude of the
    /// backend servers.
    auto awaitService() -> void
    {
        setScript({.answer = standin::wholeAnswer(), .ending = Ending::Close});
        for (const auto &it : m_fleet.hosts) {
            Fleet::waitUntil([&] {
                sendHeartbeats();
                const auto response = exchange(it.address, EntryPort, request("GET /v/1", 0));
                return response && response->result_int() == 200;
            });
        }
    }

    auto sendHeartbeats() -> void
    {
        for (auto &it : m_fleet.hosts)
            Fleet::beat(it, *it.backends[0], "ready");
    }

    auto setScript(const Script &script) -> void
    {
        for (const auto &it : m_fleet.hosts)
            it.backends[0]->server->setScript(script);
    }

    auto arrivals() -> int
    {
        auto sum = 0;
        for (const auto &it : m_fleet.hosts)
            sum += it.backends[0]->server->requests();
        return sum;
    }

    auto request(const std::string &target, std::size_t bodyBytes) -> std::string
    {
        return target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: b"
               + std::to_string(++m_requests) + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: "
               + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'u');
    }

    Fleet m_fleet;
    std::size_t m_requests = 0;
};

/// Returns whether the status promises that the request has not run.
static auto isPromise(unsigned status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static auto expectFailure(const std::string &name, const Received &it) -> void
{
    static constexpr auto AtOnce = 2'000ms;
    cr_expect(it.status >= 500, "%s: status %u, body '%s'", name.c_str(), it.status,
              it.body.c_str());
    cr_expect_gt(it.sends, 0, "%s reached a backend server", name.c_str());
    cr_expect(!isPromise(it.status), "%s: status %u though it may have run", name.c_str(),
              it.status);
    cr_expect(it.duration < AtOnce, "%s: after %lld ms", name.c_str(),
              static_cast<long long>(it.duration.count()));
}

Test(BrokenAnswers, noUploadIsAnsweredByAPartOfAnAnswer, .timeout = 600)
{
    static constexpr auto Tries = 4;
    const auto part = standin::answerOf("HTTP/1.1 200 OK", "", "part");
    const auto scripts = std::map<std::string, Script>{
            {"reset at once", {.answer = part, .ending = Ending::Reset}},
            {"reset later", {.answer = part, .ending = Ending::Reset, .pauseBeforeEnd = 50ms}},
            {"reset after some was read",
             {.answer = part, .ending = Ending::Reset, .readBytes = std::size_t{1} << 20U}},
            {"closed with unread bytes", {.answer = part, .ending = Ending::Close}},
            {"failure",
             {.answer = standin::answerOf("HTTP/1.1 500 Internal Server Error", "", "part"),
              .ending = Ending::Reset}},
    };
    auto random = std::mt19937_64(66);
    auto fleet = ScriptedFleet(60);
    for (auto [name, script] : scripts) {
        for (auto n = 0; n < Tries; ++n) {
            script.pauseBeforeAnswer = std::chrono::milliseconds(random() % 12);
            const auto order = fleet.send(script, "POST /o/1", UploadBytes);
            expectFailure(name + ", order", order);
            cr_expect(order.body.find("part") == std::string::npos, "%s", name.c_str());
            cr_expect_eq(order.sends, 1, "%s: an order is not sent again", name.c_str());
            const auto view = fleet.send(script, "POST /v/1", UploadBytes);
            expectFailure(name + ", view", view);
            cr_expect(view.body.find("part") == std::string::npos, "%s", name.c_str());
        }
    }
    fleet.expectAllRunning();
}

Test(BrokenAnswers, wholeAnswersBeforeTheEndOfAnUploadAreForwarded, .timeout = 600)
{
    auto fleet = ScriptedFleet(61);
    const auto refusal =
            standin::answerOf("HTTP/1.1 413 Content Too Large", "Content-Length: 5\r\n", "whole");
    const auto refused =
            fleet.send({.answer = refusal, .ending = Ending::Reset, .pauseBeforeEnd = 20ms},
                       "POST /o/1", UploadBytes);
    cr_expect_eq(refused.status, 413);
    cr_expect_eq(refused.body, "whole");
    const auto unframed = standin::answerOf("HTTP/1.1 200 OK", "", "whole");
    const auto served = fleet.send({.answer = unframed, .ending = Ending::ReadRestThenClose},
                                   "POST /o/1", UploadBytes);
    cr_expect_eq(served.status, 200);
    cr_expect_eq(served.body, "whole");
}

static auto expectNotForwarded(ScriptedFleet &fleet,
                               const std::vector<standin::MalformedAnswer> &answers) -> void
{
    for (const auto &it : answers) {
        const auto order = fleet.send({.answer = it.bytes, .ending = Ending::Keep}, "GET /o/1", 0);
        expectFailure(it.name, order);
        cr_expect(order.body.find("whole") == std::string::npos, "%s", it.name.c_str());
    }
    fleet.expectAllRunning();
}

Test(BrokenAnswers, malformedStatusLinesAreNotForwarded, .timeout = 600)
{
    auto fleet = ScriptedFleet(62);
    expectNotForwarded(fleet, standin::malformedStatusLines());
}

Test(BrokenAnswers, malformedFieldsAreNotForwarded, .timeout = 600)
{
    auto fleet = ScriptedFleet(63);
    expectNotForwarded(fleet, standin::malformedFields());
}

Test(BrokenAnswers, malformedFramingIsNotForwarded, .timeout = 600)
{
    auto fleet = ScriptedFleet(64);
    expectNotForwarded(fleet, standin::malformedFraming());
}
