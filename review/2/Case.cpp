// All processes are killed at the same moment, shortly after a node has acknowledged that its upstream has left. A heartbeat
// that this upstream had sent before arrives late. The restarted nodes send requests to it again.

#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "../standins/Deployment.h"

using namespace review;
using namespace std::chrono_literals;

static constexpr auto MenuWork = Milliseconds(50);
static constexpr auto Deadline = Milliseconds(5'000);
/// How late the heartbeat arrives; the upstream has no answer after a second and goes on.
static constexpr auto HeartbeatDelay = Milliseconds(3'000);
static constexpr auto LeaveAfterHeartbeat = Milliseconds(1'100);
static constexpr auto KillAfterAcknowledgement = Milliseconds(400);
static constexpr auto Downtime = Milliseconds(500);
/// The leaving upstream goes on serving for so long after the acknowledgement.
static constexpr auto ServesAfterLeaving = Milliseconds(10'000);

/// Clients of all machines send menu views in turn until they are stopped, on new connections.
class Clients
{
public:
    Clients(Record &record, const Deployment &deployment)
        : m_record(record)
        , m_thread([this, &deployment] { run(deployment); })
    {}
    ~Clients() { stop(); }

    auto stop() -> void
    {
        m_isStopped = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    /// When the attempt was sent, in milliseconds since the start.
    auto sentAt(const std::string &attempt) -> long long
    {
        const auto lock = std::scoped_lock(m_mutex);
        const auto it = m_sentAt.find(attempt);
        return it == m_sentAt.end() ? -1 : it->second;
    }

    auto sent() const -> int { return m_sent; }
    auto served() const -> int { return m_served; }

private:
    auto run(const Deployment &deployment) -> void
    {
        while (!m_isStopped) {
            const auto &machine = deployment.machines[static_cast<std::size_t>(m_sent) % 3];
            const auto attempt = "menu-" + std::to_string(++m_sent);
            {
                const auto lock = std::scoped_lock(m_mutex);
                m_sentAt[attempt] = m_record.now();
            }
            const auto answer =
                    exchange(machine.node->outbound(),
                             clientRequest("GET", "/jedilnik/", MenuWork, attempt, Deadline), Deadline);
            m_served += answer && answer->status() == 200 ? 1 : 0;
            if (!answer || answer->status() != 200) {
                m_record.line(attempt + (answer ? " answered " + std::to_string(answer->status())
                                                : std::string(" without an answer")));
                std::this_thread::sleep_for(50ms);
            }
        }
    }

    Record &m_record;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_served = 0;
    std::mutex m_mutex;
    std::map<std::string, long long> m_sentAt;
    std::thread m_thread;
};

struct Arrival
{
    std::string attempt;
    long long at = 0;
};

static auto run(Record &record, Deployment &deployment, bool hasTrouble) -> int
{
    auto arrivals = std::vector<Arrival>();
    auto mutex = std::mutex();
    auto &machine = deployment.machines[0];
    auto &upstream = *machine.upstream;
    upstream.setArrivalHandler([&](const std::string &attempt) {
        const auto lock = std::scoped_lock(mutex);
        arrivals.push_back({attempt, record.now()});
    });
    if (!deployment.start()) {
        record.line("the nodes did not get ready");
        return CouldNotRun;
    }
    auto clients = Clients(record, deployment);
    const auto isServing = waitUntil(
            [&] {
                const auto lock = std::scoped_lock(mutex);
                return arrivals.size() >= 20;
            },
            20s);
    if (!isServing) {
        record.line("the upstream that is to leave got no requests");
        return CouldNotRun;
    }
    std::this_thread::sleep_for(2s);

    machine.heartbeats->stop();
    const auto late = upstream.heartbeat(machine.node->zone(), "ready", machine.heartbeats->nextSequence());
    const auto lateAt = Clock::now() + HeartbeatDelay;
    record.line("a heartbeat 'ready' of " + upstream.instance() + " is sent and held up");
    std::this_thread::sleep_for(LeaveAfterHeartbeat);
    const auto acknowledged = exchange(machine.node->control(), upstream.leave(), 1s);
    if (!acknowledged || acknowledged->status() != 200) {
        record.line("the DELETE of the upstream was not acknowledged");
        return CouldNotRun;
    }
    const auto acknowledgedAt = record.now();
    const auto exitAt = Clock::now() + ServesAfterLeaving;
    record.line("the DELETE of " + upstream.instance() + " is acknowledged with 200");
    std::this_thread::sleep_for(KillAfterAcknowledgement);
    auto startedAt = acknowledgedAt;
    if (hasTrouble) {
        record.line("SIGKILL to all nodes");
        for (auto &it : deployment.machines)
            it.node->signal(SIGKILL);
        for (auto &it : deployment.machines)
            it.node->kill();
        std::this_thread::sleep_for(Downtime);
        for (auto &it : deployment.machines)
            it.node->start();
        startedAt = record.now();
        record.line("all nodes are started again");
    }
    std::this_thread::sleep_until(lateAt);
    const auto answer = exchange(machine.node->control(), late, 1s);
    record.line("the held-up heartbeat arrives: "
                + (answer ? std::to_string(answer->status()) : std::string("no answer")));
    std::this_thread::sleep_until(exitAt);
    upstream.exit();
    record.line("upstream " + upstream.instance() + " ends");
    clients.stop();

    auto broken = 0;
    for (const auto &it : arrivals) {
        const auto isLate = it.at > acknowledgedAt + DrainTime.count();
        const auto isInTouch = clients.sentAt(it.attempt) > startedAt + StableTime.count();
        if (!isLate || !isInTouch)
            continue;
        ++broken;
        record.line("DRAIN " + it.attempt + " reached " + upstream.instance() + " "
                    + std::to_string(it.at - acknowledgedAt)
                    + " ms after the acknowledgement; sent "
                    + std::to_string(clients.sentAt(it.attempt) - startedAt)
                    + " ms after the last start of a node");
    }
    record.line("requests: " + std::to_string(clients.sent()) + ", served: "
                + std::to_string(clients.served()) + ", at the leaving upstream against the rule: "
                + std::to_string(broken));
    return broken > 0 ? RuleBroken : RuleHeld;
}

/// Arguments: the repository, a directory for settings and logs, record.txt, 1 or 0 for the disruption.
auto main(int count, char **arguments) -> int
{
    if (count != 5)
        return CouldNotRun;
    try {
        auto record = Record(arguments[3]);
        auto deployment =
                Deployment(record, arguments[1], arguments[2], {"jedilnik", "jedilnik", "jedilnik"},
                           {{"/jedilnik/", "safe", "jedilnik", 2}});
        const auto result = run(record, deployment, std::string(arguments[4]) != "0");
        deployment.end();
        // The threads of the stand-ins still run, so that nothing is destroyed.
        std::_Exit(result);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::_Exit(CouldNotRun);
}
