#include "../standins/platform/FaultyUpstream.h"
#include "KeptConnection.h"
#include "PlatformPath.h"
#include "ProcessFleet.h"

/// Requests of a node with an outdated configuration, which may require them to run at most once.
using namespace stairspur;
using namespace stairspur::platform;
using namespace std::chrono_literals;
using standin::ArrivalRecord;
using standin::FaultPlan;
using standin::FaultyUpstream;
using Fleet = BasicProcessFleet<FaultyUpstream>;

static constexpr auto ConfigurationBound = Duration{2'000'000};

/// Returns the number of arrivals of a safe request whose first run fails. `duringFirstRun` is called within that run.
static auto arrivalsAfterFailedRun(PlatformPath &bench, const std::function<void()> &duringFirstRun)
        -> std::size_t
{
    bench.path.settings.configurationBound = ConfigurationBound;
    bench.addHosts([&](int n, const HttpRequest &) {
        if (n == 1)
            duringFirstRun();
        return backendAnswer(500, "");
    });
    cr_expect_eq(bench.send("/v/1").status, 500);
    return bench.arrived.size();
}

// A node without a recent proof of its configuration ran requests twice that a newer route requires to run once.
Test(RepeatGuard, outdatedNodeRepeatsNoRequest)
{
    struct
    {
        const char *name;
        std::optional<Duration> proofAge;
        std::size_t arrivals;
    } const cases[] = {
            {"no proof", std::nullopt, 1},
            {"old proof", 2'100ms, 1},
            {"recent proof", 1'500ms, 2},
    };
    for (const auto &it : cases) {
        auto bench = PlatformPath();
        auto proof = ConfigurationProof();
        if (it.proofAge)
            proof.provenAt = monotonicNow() - *it.proofAge;
        bench.path.board.configurationProof.publish(proof);
        cr_expect_eq(arrivalsAfterFailedRun(bench, [] {}), it.arrivals, "%s", it.name);
    }
}

// A request ran a second time although the configuration had made its route unsafe during the first run.
Test(RepeatGuard, requestIsNotRepeatedAfterItsRouteBecameUnsafe)
{
    auto bench = PlatformPath();
    const auto runs = arrivalsAfterFailedRun(bench, [&] {
        auto newer = *(*bench.path.board.configuration.read())->configuration();
        newer.version += 1;
        newer.configuration.routes.front().isIdempotent = false;
        bench.path.board.configuration.publish(std::make_shared<const config::ConfigurationIndex>(
                std::make_shared<const config::VersionedConfiguration>(std::move(newer))));
    });
    cr_assert_eq(runs, 1);
}

/// Returns a configuration with a safe route and, in versions after the first, an unsafe one below it.
static auto configuration(int version) -> std::string
{
    static constexpr auto Terms =
            R"("timeout_s": 20, "target_latency_s": 1.2, "priority": 1, "service": "menu", "max_attempts": 3})";
    auto routes = std::string(R"("views": {"host": "a.example", "prefix": "/v/", "kind": "safe", )")
                  + Terms;
    if (version > 1)
        routes += std::string(R"(, "orders": {"host": "a.example", "prefix": "/v/o/", )")
                  + R"("kind": "unsafe", )" + Terms;
    return R"({"version": )" + std::to_string(version) + R"(, "routes": {)" + routes
           + R"(}, "services": {"menu": {"health_path": "/health", "max_connections": 634}},
"limits": {"max_header_bytes": 4096, "max_body_bytes": 1000, "header_timeout_s": 3, "idle_timeout_s": 15}})";
}

/// Waits while the backend servers of all hosts but the first send heartbeats.
static auto waitBesideHeartbeats(Fleet &fleet, std::chrono::milliseconds time) -> void
{
    for (const auto end = std::chrono::steady_clock::now() + time;
         std::chrono::steady_clock::now() < end;) {
        fleet.sendOtherHeartbeats();
        std::this_thread::sleep_for(Fleet::HeartbeatInterval);
    }
}

// A resumed node sent orders of a new unsafe route to a second backend server after the first one had lost its answer.
Test(RepeatGuard, resumedNodeRunsOrdersOfANewRouteOnce, .timeout = 120)
{
    /// Weights of the treatments; see standin::Treatment. Two answers in five are lost.
    static constexpr auto LosesAnswers = FaultPlan{{60, 0, 0, 0, 0, 0, 0, 40, 0, 0}, 0};
    static constexpr auto Orders = 40;
    auto fleet = Fleet(21, configuration(1));
    auto record = ArrivalRecord();
    for (auto &it : fleet.hosts) {
        it.backends[0]->server->setRecord(record);
        it.backends[0]->server->setPlan(LosesAnswers);
    }
    const auto &suspended = fleet.hosts[0];
    waitBesideHeartbeats(fleet, 2s); // Until the configuration is proven to be the newest.
    suspended.node->signal(SIGSTOP);
    fleet.configure(configuration(2));
    waitBesideHeartbeats(fleet, 2'100ms); // Longer than the configuration bound.
    auto callers = std::vector<std::thread>();
    for (auto n = 0; n < Orders; ++n) {
        callers.emplace_back([&suspended, n] {
            KeptConnection(suspended.address)
                    .send("POST /v/o/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: o"
                          + std::to_string(n)
                          + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
        });
    }
    waitBesideHeartbeats(fleet, 2s);
    suspended.node->signal(SIGCONT);
    for (auto &it : callers)
        it.join();
    auto ran = 0;
    for (auto n = 0; n < Orders; ++n) {
        const auto runs = record.runs("o" + std::to_string(n));
        ran += runs > 0 ? 1 : 0;
        cr_expect_leq(runs, 1, "order %d ran %d times", n, static_cast<int>(runs));
    }
    cr_expect_gt(ran, 0);
}
