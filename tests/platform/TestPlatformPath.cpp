#include "PlatformPath.h"

/// The whole path of a request in the platform's words: entry, link, gate, and backend servers that a test scripts.
using namespace stairspur;

static auto served(const HttpRequest &request) -> HttpResponse
{
    auto response = backendAnswer(200, "whole");
    response.headers.set("X-Server-Seal", "seal");
    response.headers.set("X-Attempt-Id", std::string(request.headers.find("X-Attempt-Id")));
    return response;
}

static auto shed() -> HttpResponse
{
    auto response = backendAnswer(503, "full");
    response.headers.set("X-Not-Executed", "1");
    return response;
}

Test(PlatformPath, aRequestIsServedWithItsHeaders)
{
    auto bench = PlatformPath();
    bench.addHosts([](int, const auto &request) { return served(request); });
    const auto &response = bench.send("/v/1?q=2");
    cr_assert_eq(response.status, 200);
    cr_assert(response.headers.find("X-Server-Seal") == "seal");
    cr_assert_eq(response.body, "whole");
    cr_assert_eq(bench.arrived.size(), 1);
    const auto &arrived = bench.arrived[0];
    cr_assert_eq(arrived.target, "/v/1?q=2");
    cr_assert(arrived.headers.find("X-Attempt-Id") == "root");
    cr_assert(arrived.headers.find("X-Caller-Service") == "caller");
    cr_assert(arrived.headers.find("Host") == "a");
}

Test(PlatformPath, whatMayRunAgainFollowsTheRouteAndTheBackendServersWord)
{
    struct
    {
        const char *name;
        const char *target;
        std::function<HttpResponse(int, const HttpRequest &)> answer;
        std::uint32_t status;
        std::size_t arrivals;
    } const cases[] = {
            {"shed once", "/v/1",
             [](int n, const auto &it) { return n == 1 ? shed() : served(it); }, 200, 2},
            {"non-idempotent, shed once", "/o/1",
             [](int n, const auto &it) { return n == 1 ? shed() : served(it); }, 200, 2},
            {"shed by both, then served", "/o/1",
             [](int n, const auto &it) { return n <= 2 ? shed() : served(it); }, 200, 3},
            {"failed once", "/v/1",
             [](int n, const auto &it) { return n == 1 ? backendAnswer(500, "") : served(it); },
             200, 2},
            {"non-idempotent, failed", "/o/1",
             [](int, const auto &) { return backendAnswer(500, ""); }, 500, 1},
            {"503 without the mark, once", "/v/1",
             [](int n, const auto &it) { return n == 1 ? backendAnswer(503, "") : served(it); },
             200, 2},
            {"non-idempotent, 503 without the mark", "/o/1",
             [](int, const auto &) { return backendAnswer(503, ""); }, 502, 1},
            {"non-idempotent, 429 without the mark", "/o/1",
             [](int, const auto &) { return backendAnswer(429, ""); }, 502, 1},
            {"success without a seal", "/v/1",
             [](int n, const auto &it) { return n == 1 ? backendAnswer(200, "") : served(it); },
             200, 2},
            {"non-idempotent, success without a seal", "/o/1",
             [](int, const auto &) { return backendAnswer(200, ""); }, 502, 1},
            {"always shed", "/v/1", [](int, const auto &) { return shed(); }, 503, 9},
    };
    for (const auto &it : cases) {
        auto bench = PlatformPath();
        bench.addHosts(it.answer);
        const auto &response = bench.send(it.target);
        cr_expect_eq(response.status, it.status, "%s: %u", it.name, response.status);
        cr_expect_eq(bench.arrived.size(), it.arrivals, "%s: %zu arrivals", it.name,
                     bench.arrived.size());
    }
}

Test(PlatformPath, aRefusalPromisesAndSaysWhenToComeBack)
{
    auto bench = PlatformPath();
    const auto &response = bench.send("/o/1");
    cr_assert_eq(response.status, 503);
    cr_assert(!response.headers.find("Retry-After").empty());
}

Test(PlatformPath, withoutARouteItIs404AndWithoutConfiguration503)
{
    auto bench = PlatformPath();
    cr_assert_eq(bench.send("/x/1").status, 404);
    bench.path.board.configuration.publish(nullptr);
    cr_assert_eq(bench.send("/v/1").status, 503);
}

Test(PlatformPath, aRunThatFailedByADeeperCallIsNotRunAnew)
{
    auto bench = PlatformPath();
    auto hosts = 0;
    bench.path.addHost("menu", [&](auto request, auto) -> Task<HttpResponse> {
        ++hosts;
        // The entry of this host tells of the deeper call by its parent's attempt.
        auto &running = bench.path.hosts[0]->running;
        const auto parent = hash64(std::string(request.headers.find("X-Attempt-Id")));
        running.addChild(parent, 1, NoPath, [] {});
        running.removeChild(parent, 1, 0, false);
        co_return backendAnswer(500, "");
    });
    cr_assert_eq(bench.send("/v/1").status, 500);
    cr_assert_eq(hosts, 1);
}

Test(PlatformPath, aLeavingBackendServerGetsNothingNew)
{
    auto bench = PlatformPath();
    bench.addHosts([](int, const auto &request) { return served(request); });
    for (auto &it : bench.path.hosts) {
        auto backend = *it->board.backend.read();
        backend.state = membership::ServingState::Draining;
        it->board.backend.publish(backend);
        it->gate->refreshFromBoard();
    }
    cr_assert_eq(bench.send("/o/1").status, 503);
    cr_assert(bench.arrived.empty());
}
