#include <cstdlib>
#include <map>
#include <random>

#include "KeptConnection.h"
#include "ProcessFleet.h"

/// Real processes under seeded series of leavings, delayed and repeated heartbeats, successors and signals to the node.
using namespace stairspur;
using namespace stairspur::platform;
using Clock = std::chrono::steady_clock;

class LeavingSoak
{
public:
    LeavingSoak(std::uint64_t seed, int network)
        : m_seed(seed)
        , m_random(seed)
        , m_fleet(network)
        , m_host(m_fleet.hosts[0])
    {
        for (const auto &it : m_fleet.hosts)
            m_clients.push_back(std::make_unique<KeptConnection>(it.address));
    }

    auto run(std::chrono::milliseconds length) -> void
    {
        auto nextHeartbeat = Clock::now();
        auto nextAction = Clock::now() + 500ms;
        for (const auto end = Clock::now() + length; Clock::now() < end;) {
            if (Clock::now() >= nextHeartbeat) {
                nextHeartbeat = Clock::now() + ProcessFleet::HeartbeatInterval;
                m_fleet.sendOtherHeartbeats();
                announceAll();
            }
            if (Clock::now() >= nextAction) {
                nextAction = Clock::now() + std::chrono::milliseconds(below(700));
                act();
            }
            deliverDue();
            resumeIfDue();
            sendRequests();
            expectNothingLate();
        }
        resume();
    }

private:
    struct Leaving
    {
        std::size_t backend = 0;
        int runsBefore = 0;
    };

    auto below(std::uint64_t bound) -> std::uint64_t
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    /// Heartbeat loops go on after a leaving, as from a thread that was not told to end.
    auto announceAll() -> void
    {
        for (const auto &it : m_host.backends) {
            const auto sequence = ++it->sequence;
            const auto delay = below(4) == 0 ? below(1'500) : 0;
            m_late.emplace(Clock::now() + std::chrono::milliseconds(delay),
                           std::pair(it.get(), sequence));
        }
    }

    auto deliverDue() -> void
    {
        while (!m_isStopped && !m_late.empty() && m_late.begin()->first <= Clock::now()) {
            const auto [backend, sequence] = m_late.begin()->second;
            m_late.erase(m_late.begin());
            ProcessFleet::beat(m_host, *backend, "ready", sequence);
        }
    }

    auto act() -> void
    {
        resume();
        switch (below(7)) {
        case 0:
        case 1:
            return leave();
        case 2:
            m_host.node->kill();
            return m_host.node->start();
        case 3:
            m_host.node->stop();
            return m_host.node->start();
        case 4:
            m_host.node->signal(SIGSTOP);
            m_isStopped = true;
            m_resumeAt = Clock::now() + std::chrono::milliseconds(100 + below(900));
            return;
        case 5:
            return m_fleet.restartNodes(std::chrono::milliseconds(below(500)), below(2));
        default:
            return addSuccessor();
        }
    }

    auto leave() -> void
    {
        const auto index = m_host.backends.size() - 1;
        auto &backend = *m_host.backends[index];
        const auto isOvertaken = below(3) == 0;
        const auto sequence = backend.sequence + (isOvertaken ? 0 : 1);
        const auto status = below(3) == 0
                                    ? ProcessFleet::leave(m_host, backend)
                                    : ProcessFleet::beat(m_host, backend, "draining", sequence);
        if (status == 200 && !m_runsAtLeaving.contains(index))
            m_runsAtLeaving[index] = backend.server->runs();
    }

    auto addSuccessor() -> void
    {
        static constexpr auto MaxBackends = std::size_t{5};
        const auto isLastLeaving = m_runsAtLeaving.contains(m_host.backends.size() - 1);
        if (isLastLeaving && m_host.backends.size() < MaxBackends)
            m_fleet.addBackend(m_host, "i-successor-" + std::to_string(m_host.backends.size()));
    }

    auto resumeIfDue() -> void
    {
        if (m_isStopped && Clock::now() >= m_resumeAt)
            resume();
    }

    auto resume() -> void
    {
        m_host.node->signal(SIGCONT);
        m_isStopped = false;
    }

    auto sendRequests() -> void
    {
        for (std::size_t n = m_isStopped ? 1 : 0; n < m_clients.size(); ++n)
            m_clients[n]->send("GET /v/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: s"
                               + std::to_string(++m_requests) + "\r\nX-Deadline-Ms: 1000\r\n\r\n");
    }

    auto expectNothingLate() -> void
    {
        for (const auto &[index, runs] : m_runsAtLeaving)
            cr_assert_eq(m_host.backends[index]->server->runs(), runs,
                         "seed %llu: a request ran at instance %zu after its leaving",
                         static_cast<unsigned long long>(m_seed), index);
    }

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    ProcessFleet m_fleet;
    ProcessFleet::Host &m_host;
    std::vector<std::unique_ptr<KeptConnection>> m_clients;
    std::multimap<Clock::time_point, std::pair<ProcessFleet::Backend *, std::uint64_t>> m_late;
    std::map<std::size_t, int> m_runsAtLeaving; ///< By instance, after the acknowledgement.
    bool m_isStopped = false;                   ///< The node of the first host is suspended.
    Clock::time_point m_resumeAt;
    std::uint64_t m_requests = 0;
};

/// STAIRSPUR_SOAK_SEEDS is the number of seeds of a run by hand.
Test(LeavingSoak, nothingReachesAServerAfterItsLeavingWasAcknowledged, .timeout = 3'600)
{
    static constexpr auto SeedsInCi = 4;
    const auto *seeds = std::getenv("STAIRSPUR_SOAK_SEEDS");
    const auto count = static_cast<std::uint64_t>(seeds ? std::atoi(seeds) : SeedsInCi);
    for (auto seed = std::uint64_t{1}; seed <= count; ++seed)
        LeavingSoak(seed, 110 + static_cast<int>(seed % 100)).run(8s);
}
