#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>

#include "../standins/platform/FaultyUpstream.h"
#include "KeptConnection.h"
#include "ProcessFleet.h"

/// Real processes: orders that must run once, through backend servers that reject them and repeat, lose and spoil answers,
/// beside signals to the nodes and restarts of both.
using namespace stairspur;
using namespace stairspur::platform;
using standin::ArrivalRecord;
using standin::FaultPlan;
using standin::FaultyUpstream;
using Clock = std::chrono::steady_clock;
using Fleet = BasicProcessFleet<FaultyUpstream>;

static constexpr auto FirstVersion = 7;

/// Returns a configuration that differs from others by its version only.
static auto configuration(int version) -> std::string
{
    return R"({"version": )" + std::to_string(version) + R"(, "routes": {
"orders": {"host": "a.example", "prefix": "/o/", "kind": "unsafe", "timeout_s": 20, "target_latency_s": 1.5, "priority": 0,
  "service": "menu", "max_attempts": 3}},
"services": {"menu": {"health_path": "/health", "max_connections": 634}},
"limits": {"max_header_bytes": 4096, "max_body_bytes": 200000, "header_timeout_s": 3, "idle_timeout_s": 15}})";
}

/// Returns whether the status guarantees that the attempt has not run and never will.
static auto isRefusal(unsigned status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Callers that place orders one after the other, each at the node of its host, and try again after a refusal.
class Callers
{
public:
    /// The attempts of one order with their statuses; 0 without a response.
    using Order = std::vector<std::pair<std::string, unsigned>>;

    Callers(const std::vector<std::string> &addresses, std::uint64_t seed)
    {
        static constexpr auto CallersPerHost = 6;
        for (const auto &it : addresses) {
            for (auto n = 0; n < CallersPerHost; ++n)
                m_threads.emplace_back([this, it, number = m_threads.size(), seed] {
                    placeOrders(it, number, seed);
                });
        }
    }

    ~Callers() { finish(); }
    Callers(const Callers &) = delete;
    auto operator=(const Callers &) -> Callers & = delete;

    /// Ends after the orders under way, and returns all orders.
    auto finish() -> const std::vector<Order> &
    {
        m_isStopping = true;
        for (auto &it : m_threads) {
            if (it.joinable())
                it.join();
        }
        return m_orders;
    }

private:
    auto placeOrders(const std::string &address, std::size_t number, std::uint64_t seed) -> void
    {
        static constexpr auto MaxAttempts = 4;
        static constexpr auto PauseWithoutService = 20ms;
        auto random = std::mt19937_64(seed * 100 + number);
        auto connection = KeptConnection(address);
        for (auto n = 0; !m_isStopping; ++n) {
            auto order = Order();
            do {
                const auto attempt = "c" + std::to_string(number) + "-" + std::to_string(n) + "-"
                                     + std::to_string(order.size());
                const auto status = place(connection, request(attempt, random), random);
                order.emplace_back(attempt, status);
                if (status == 0 || isRefusal(status))
                    std::this_thread::sleep_for(PauseWithoutService);
            } while (isRefusal(order.back().second) && order.size() < MaxAttempts);
            const auto lock = std::scoped_lock(m_mutex);
            m_orders.push_back(std::move(order));
        }
    }

    /// Returns the status of the response; 0 without one. Some callers leave before it comes.
    static auto place(KeptConnection &connection, const std::string &text, std::mt19937_64 &random)
            -> unsigned
    {
        static constexpr auto MostPatience = 60U;
        static constexpr auto OneLeavesIn = 12U;
        if (random() % OneLeavesIn != 0)
            return connection.send(text);
        connection.sendAndLeave(text, std::chrono::milliseconds(random() % MostPatience));
        return 0;
    }

    static auto request(const std::string &attempt, std::mt19937_64 &random) -> std::string
    {
        static constexpr auto BodySizes = std::array<std::size_t, 5>{0, 0, 200, 20'000, 150'000};
        const auto size = BodySizes[random() % BodySizes.size()];
        const auto deadline = 400 + random() % 2'000;
        return "POST /o/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt
               + "\r\nX-Deadline-Ms: " + std::to_string(deadline) + "\r\nContent-Length: "
               + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
    }

    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::vector<Order> m_orders;
    std::vector<std::thread> m_threads;
};

class RunOnceSoak
{
public:
    RunOnceSoak(std::uint64_t seed, int network, const FaultPlan &plan)
        : m_seed(seed)
        , m_random(seed)
        , m_fleet(network, configuration(FirstVersion))
    {
        for (auto &host : m_fleet.hosts) {
            host.backends[0]->server->setRecord(m_record);
            host.backends[0]->server->setPlan(plan);
            m_resumeAt.emplace_back();
        }
    }

    auto run(std::chrono::milliseconds length, bool hasDisorder) -> void
    {
        auto addresses = std::vector<std::string>();
        for (const auto &it : m_fleet.hosts)
            addresses.push_back(it.address);
        auto callers = Callers(addresses, m_seed);
        auto nextHeartbeat = Clock::now();
        auto nextAction = Clock::now() + 300ms;
        for (const auto end = Clock::now() + length; Clock::now() < end;) {
            resumeDue();
            startEnded();
            if (Clock::now() >= nextHeartbeat) {
                nextHeartbeat = Clock::now() + Fleet::HeartbeatInterval;
                announce();
            }
            if (hasDisorder && Clock::now() >= nextAction) {
                nextAction = Clock::now() + std::chrono::milliseconds(below(900));
                act();
            }
            std::this_thread::sleep_for(5ms);
        }
        for (auto n = std::size_t{0}; n < m_fleet.hosts.size(); ++n)
            resume(n);
        check(callers.finish());
    }

private:
    auto below(std::uint64_t bound) -> std::uint64_t
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    [[nodiscard]] auto isSuspended(std::size_t n) const -> bool
    {
        return m_resumeAt[n] != Clock::time_point();
    }

    auto announce() -> void
    {
        for (auto n = std::size_t{0}; n < m_fleet.hosts.size(); ++n) {
            if (!isSuspended(n))
                Fleet::beat(m_fleet.hosts[n], *m_fleet.hosts[n].backends[0], "ready");
        }
    }

    auto resumeDue() -> void
    {
        for (auto n = std::size_t{0}; n < m_fleet.hosts.size(); ++n) {
            if (isSuspended(n) && Clock::now() >= m_resumeAt[n])
                resume(n);
        }
    }

    auto startEnded() -> void
    {
        for (auto &it : m_fleet.hosts) {
            if (it.node->hasEnded())
                it.node->start();
        }
    }

    auto resume(std::size_t n) -> void
    {
        m_fleet.hosts[n].node->signal(SIGCONT);
        m_resumeAt[n] = {};
    }

    auto act() -> void
    {
        static constexpr auto LeastSuspension = 300;
        static constexpr auto SuspensionRange = 4'700;
        const auto n = below(m_fleet.hosts.size());
        auto &host = m_fleet.hosts[n];
        switch (below(10)) {
        case 0:
            resume(n);
            return host.node->kill();
        case 1:
        case 2:
            resume(n);
            return host.node->signal(SIGTERM);
        case 3:
        case 4:
            host.node->signal(SIGSTOP);
            m_resumeAt[n] = Clock::now()
                            + std::chrono::milliseconds(LeastSuspension + below(SuspensionRange));
            return;
        case 5:
            return host.node->signal(SIGHUP);
        case 6:
            return m_fleet.configure(configuration(++m_version));
        default:
            return restartBackend(*host.backends[0]);
        }
    }

    auto restartBackend(Fleet::Backend &backend) -> void
    {
        backend.instance = "i-again-" + std::to_string(++m_restarts);
        backend.sequence = 0;
        backend.server->restart(backend.instance);
    }

    auto check(const std::vector<Callers::Order> &orders) -> void
    {
        auto counts = std::map<unsigned, int>();
        auto runTwice = 0;
        auto runRefused = 0;
        for (const auto &order : orders) {
            for (const auto &[attempt, status] : order) {
                ++counts[status];
                const auto runs = m_record.runs(attempt);
                const auto isTwice = runs > 1;
                const auto isRefused = runs > 0 && isRefusal(status);
                runTwice += isTwice ? 1 : 0;
                runRefused += isRefused ? 1 : 0;
                if (isTwice || isRefused)
                    print(attempt, status);
            }
        }
        for (const auto &[status, n] : counts)
            std::printf("# seed %llu: status %u: %d\n", static_cast<unsigned long long>(m_seed),
                        status, n);
        std::printf("# seed %llu: orders %zu run twice %d run though refused %d\n",
                    static_cast<unsigned long long>(m_seed), orders.size(), runTwice, runRefused);
        for (const auto &it : m_fleet.hosts) {
            const auto &server = *it.backends[0]->server;
            std::printf("# seed %llu: connections %llu, at once %zu\n",
                        static_cast<unsigned long long>(m_seed),
                        static_cast<unsigned long long>(server.connections()),
                        server.mostConnections());
        }
        std::fflush(stdout);
        cr_expect_gt(counts[200], 0);
        cr_expect_eq(runTwice, 0, "seed %llu", static_cast<unsigned long long>(m_seed));
        cr_expect_eq(runRefused, 0, "seed %llu", static_cast<unsigned long long>(m_seed));
    }

    auto print(const std::string &attempt, unsigned status) const -> void
    {
        std::printf("# attempt %s status %u\n", attempt.c_str(), status);
        for (const auto &it : m_record.of(attempt))
            std::printf("#   %lld us %s connection %llu %s copy %s\n",
                        static_cast<long long>(it.time.time_since_epoch().count() / 1000),
                        it.instance.c_str(), static_cast<unsigned long long>(it.connection),
                        std::string(nameOf(it.treatment)).c_str(),
                        std::string(nameOf(it.copy)).c_str());
    }

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    ArrivalRecord m_record;
    Fleet m_fleet;
    std::vector<Clock::time_point> m_resumeAt; ///< By host; the epoch if it is not suspended.
    int m_restarts = 0;
    int m_version = FirstVersion;
};

static auto seedsToRun() -> std::uint64_t
{
    static constexpr auto SeedsInCi = 2;
    const auto *seeds = std::getenv("STAIRSPUR_SOAK_SEEDS");
    return static_cast<std::uint64_t>(seeds ? std::atoi(seeds) : SeedsInCi);
}

/// Weights of: serve, reject, late, early, nameless, misdirect, unmarked, lose, break off, unframed.
static constexpr auto Rejecting = FaultPlan{{50, 20, 10, 8, 4, 2, 0, 2, 2, 2}, 0.2};
static constexpr auto MostlyRejecting = FaultPlan{{30, 40, 10, 10, 4, 2, 0, 1, 1, 2}, 0.4};
static constexpr auto Unmarked = FaultPlan{{50, 20, 10, 8, 4, 2, 5, 2, 2, 2}, 0.2};

Test(RunOnceSoak, ordersRunOnceBesideLateCopies, .timeout = 3'600)
{
    for (auto seed = std::uint64_t{1}; seed <= seedsToRun(); ++seed)
        RunOnceSoak(seed, 120 + static_cast<int>(seed % 50), Rejecting).run(8s, false);
}

Test(RunOnceSoak, ordersRunOnceBesideLateCopiesOfMostlyRejections, .timeout = 3'600)
{
    for (auto seed = std::uint64_t{1}; seed <= seedsToRun(); ++seed)
        RunOnceSoak(seed, 50 + static_cast<int>(seed % 50), MostlyRejecting).run(8s, false);
}

Test(RunOnceSoak, ordersRunOnceBesideSignalsAndRestarts, .timeout = 3'600)
{
    for (auto seed = std::uint64_t{1}; seed <= seedsToRun(); ++seed)
        RunOnceSoak(seed, 170 + static_cast<int>(seed % 50), Rejecting).run(12s, true);
}

Test(RunOnceSoak, refusalsWithoutTheServersMarkAreNotForwarded, .timeout = 3'600)
{
    for (auto seed = std::uint64_t{1}; seed <= seedsToRun(); ++seed)
        RunOnceSoak(seed, 220 + static_cast<int>(seed % 30), Unmarked).run(4s, false);
}
