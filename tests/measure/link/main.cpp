// Measures the transport on loopback: calls per CPU second over one link, latencies, bytes per call, and what the whole
// way entry -> gate -> backend server adds to a direct request. Runs for a few seconds and ends by itself.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>

#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/HttpServer.h>
#include <stairspur/transport/PeerClient.h>
#include <stairspur/transport/PeerServer.h>

using namespace stairspur;
using namespace stairspur::transport;

static constexpr auto Timeout = Duration(10'000'000);

/// An io_context with its thread.
class Loop
{
public:
    Loop()
        : io(1)
        , m_guard(io.get_executor())
        , m_thread([this] { io.run(); })
    {}

    ~Loop()
    {
        m_guard.reset();
        io.stop();
        m_thread.join();
    }

    Loop(const Loop &) = delete;
    Loop(Loop &&) = delete;
    auto operator=(const Loop &) -> Loop & = delete;
    auto operator=(Loop &&) -> Loop & = delete;

    asio::io_context io;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

static auto cpuSeconds() -> double
{
    auto now = timespec();
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

/// Runs `calls` calls, `width` at once, and prints a line about them.
template <typename Call>
static auto measure(Loop &loop, const char *name, int calls, int width, const Call &call) -> void
{
    using Clock = std::chrono::steady_clock;
    auto latencies = std::vector<double>();
    latencies.reserve(calls);
    auto left = calls;
    const auto work = [&]() -> Task<void> {
        while (left-- > 0) {
            const auto begin = Clock::now();
            co_await call();
            latencies.push_back(
                    std::chrono::duration<double, std::micro>(Clock::now() - begin).count());
        }
    };
    const auto cpu = cpuSeconds();
    const auto begin = Clock::now();
    auto done = std::vector<std::future<void>>();
    for (auto n = 0; n < width; ++n)
        done.push_back(asio::co_spawn(loop.io, work, asio::use_future));
    for (auto &it : done)
        it.get();
    const auto seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    const auto cpuUsed = cpuSeconds() - cpu;
    std::sort(latencies.begin(), latencies.end());
    const auto at = [&](double share) {
        return latencies[static_cast<std::size_t>(share
                                                  * static_cast<double>(latencies.size() - 1))];
    };
    std::printf("measure=%s calls=%d width=%d per_second=%.0f per_cpu_second=%.0f p50_us=%.0f "
                "p99_us=%.0f p999_us=%.0f\n",
                name, calls, width, calls / seconds, calls / cpuUsed, at(0.5), at(0.99), at(0.999));
    std::fflush(stdout);
}

static auto callOf(std::size_t bodySize) -> CallRequest
{
    auto request = CallRequest{.service = "order-intake",
                               .className = "interactive",
                               .level = makeLevel(1, 5),
                               .root = {1, 2},
                               .remaining = Timeout,
                               .retryBudget = 3};
    request.caller = "shop";
    request.method = "POST";
    request.target = "/orders/4711";
    request.headers.add("Content-Type", "application/json");
    request.headers.add("Accept", "application/json");
    request.headers.add("User-Agent", "measure");
    request.body.assign(bodySize, 'x');
    return request;
}

static auto echoCall(NodeId, CallRequest request, CancellationPtr) -> Task<CallAnswer>
{
    auto answer = CallAnswer{.outcome = Outcome::Answered, .wasDispatched = true, .status = 200};
    answer.headers.add("Content-Type", "application/json");
    answer.body = std::move(request.body);
    answer.report = admission::LoadReport{.sequence = 100, .limit = 100, .inFlight = 50};
    co_return answer;
}

static auto echoHttp(HttpRequest request, CancellationPtr) -> Task<HttpResponse>
{
    auto response = HttpResponse();
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(request.body);
    co_return response;
}

static auto httpOf(std::size_t bodySize) -> HttpRequest
{
    auto request = HttpRequest{.method = "POST", .target = "/orders/4711"};
    request.headers.add("Content-Type", "application/json");
    request.body.assign(bodySize, 'x');
    return request;
}

/// Ends what lives in a loop in that loop's own thread.
template <typename Owner>
static auto endIn(Loop &loop, std::unique_ptr<Owner> owner) -> void
{
    asio::co_spawn(
            loop.io,
            [it = std::move(owner)]() mutable -> Task<void> {
                it.reset();
                co_return;
            },
            asio::use_future)
            .get();
}

static auto measureLink() -> void
{
    auto gate = Loop();
    auto entry = Loop();
    auto server = std::make_unique<PeerServer>(gate.io, "127.0.0.1", 0,
                                               PeerSettings{.ownNode = "gate", .secret = "s"});
    server->setCallHandler(echoCall);
    server->start();
    auto client =
            std::make_unique<PeerClient>(entry.io, PeerSettings{.ownNode = "entry", .secret = "s"});
    const auto node = "127.0.0.1:" + std::to_string(server->port());
    const auto call = [&](std::size_t size) {
        return [&, size]() -> Task<void> {
            const auto answer = co_await client->call(node, callOf(size), nullptr);
            if (answer.outcome != Outcome::Answered)
                std::printf("failed=%s\n", std::string(nameOf(answer.reason)).c_str());
        };
    };
    measure(entry, "link-warm-up", 2000, 1, call(1024));
    const auto before = client->traffic();
    measure(entry, "link-1KiB", 20000, 1, call(1024));
    const auto after = client->traffic();
    std::printf("measure=link-bytes-per-call sent=%.1f received=%.1f (of which body 1024 each)\n",
                static_cast<double>(after.callBytesSent - before.callBytesSent) / 20000,
                static_cast<double>(after.callBytesReceived - before.callBytesReceived) / 20000);
    measure(entry, "link-1KiB", 100000, 64, call(1024));
    measure(entry, "link-64KiB", 5000, 4, call(std::size_t{64} << 10U));
    endIn(entry, std::move(client));
    endIn(gate, std::move(server));
}

static auto measureWholeWay() -> void
{
    auto backendLoop = Loop();
    auto gateLoop = Loop();
    auto entryLoop = Loop();
    auto callerLoop = Loop();
    auto backend = std::make_unique<HttpServer>(backendLoop.io, HttpServerSettings(), echoHttp);
    backend->start();
    auto toBackend =
            std::make_unique<HttpClient>(gateLoop.io, HttpClientSettings{.port = backend->port()});
    auto gate = std::make_unique<PeerServer>(gateLoop.io, "127.0.0.1", 0,
                                             PeerSettings{.ownNode = "gate"});
    gate->setCallHandler([&](NodeId, CallRequest request, CancellationPtr it) -> Task<CallAnswer> {
        auto passedOn = HttpRequest{.method = std::move(request.method),
                                    .target = std::move(request.target),
                                    .headers = std::move(request.headers),
                                    .body = std::move(request.body)};
        auto response = co_await toBackend->send(std::move(passedOn), Timeout, it);
        auto answer = CallAnswer{.outcome = Outcome::Answered, .status = response.status};
        answer.headers = std::move(response.headers);
        answer.body = std::move(response.body);
        co_return answer;
    });
    gate->start();
    auto toGate = std::make_unique<PeerClient>(entryLoop.io, PeerSettings{.ownNode = "entry"});
    const auto node = "127.0.0.1:" + std::to_string(gate->port());
    auto entry = std::make_unique<HttpServer>(
            entryLoop.io, HttpServerSettings(),
            [&](HttpRequest request, CancellationPtr it) -> Task<HttpResponse> {
                auto call = callOf(0);
                call.headers = std::move(request.headers);
                call.body = std::move(request.body);
                auto answer = co_await toGate->call(node, std::move(call), it);
                auto response = HttpResponse{.status = answer.status};
                response.headers = std::move(answer.headers);
                response.body = std::move(answer.body);
                co_return response;
            });
    entry->start();
    auto direct = std::make_unique<HttpClient>(callerLoop.io,
                                               HttpClientSettings{.port = backend->port()});
    auto through =
            std::make_unique<HttpClient>(callerLoop.io, HttpClientSettings{.port = entry->port()});
    for (const auto width : {1, 16}) {
        const auto calls = width == 1 ? 10000 : 40000;
        measure(callerLoop, "http-direct-1KiB", calls, width,
                [&]() -> Task<void> { co_await direct->send(httpOf(1024), Timeout, nullptr); });
        measure(callerLoop, "http-entry-gate-backend-1KiB", calls, width,
                [&]() -> Task<void> { co_await through->send(httpOf(1024), Timeout, nullptr); });
    }
    endIn(callerLoop, std::move(direct));
    endIn(callerLoop, std::move(through));
    endIn(entryLoop, std::move(entry));
    endIn(entryLoop, std::move(toGate));
    endIn(gateLoop, std::move(gate));
    endIn(gateLoop, std::move(toBackend));
    endIn(backendLoop, std::move(backend));
}

auto main() -> int
{
    measureLink();
    measureWholeWay();
    return 0;
}
