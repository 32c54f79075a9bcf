// An upstream crashes and starts again under its id. The first thing that the new process says is that it leaves. The node
// acknowledges that, and goes on sending requests to it for seconds.

#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "../standins/Deployment.h"

using namespace review;
using namespace std::chrono_literals;

static constexpr auto MenuWork = Milliseconds(50);
static constexpr auto Deadline = Milliseconds(5'000);
static constexpr auto Downtime = Milliseconds(500);
/// From the start of the new process to its first heartbeat, which says `draining`. Heartbeats come every 1.5 s.
static constexpr auto FirstHeartbeat = Milliseconds(500);
/// The leaving upstream goes on serving for so long after the acknowledgement.
static constexpr auto ServesAfterLeaving = Milliseconds(7'000);

/// A client of the first machine sends menu views, one after the other, each on a new connection.
class Client
{
public:
    Client(Record &record, const Node &node)
        : m_record(record)
        , m_thread([this, &node] { run(node); })
    {}
    ~Client() { stop(); }

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
        return m_sentAt.at(attempt);
    }

    auto sent() const -> int { return m_sent; }

private:
    auto run(const Node &node) -> void
    {
        while (!m_isStopped) {
            const auto attempt = "menu-" + std::to_string(++m_sent);
            {
                const auto lock = std::scoped_lock(m_mutex);
                m_sentAt[attempt] = m_record.now();
            }
            const auto answer =
                    exchange(node.outbound(),
                             clientRequest("GET", "/jedilnik/", MenuWork, attempt, Deadline), Deadline);
            if (answer && answer->status() == 200)
                continue;
            m_record.line(attempt + (answer ? " answered " + std::to_string(answer->status())
                                            : std::string(" without an answer")));
            std::this_thread::sleep_for(50ms);
        }
    }

    Record &m_record;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_sent = 0;
    std::mutex m_mutex;
    std::map<std::string, long long> m_sentAt;
    std::thread m_thread;
};

struct Arrival
{
    std::string attempt;
    long long at = 0;
};

class Arrivals
{
public:
    auto add(const std::string &attempt, long long at) -> void
    {
        const auto lock = std::scoped_lock(m_mutex);
        m_all.push_back({attempt, at});
    }
    auto all() -> std::vector<Arrival>
    {
        const auto lock = std::scoped_lock(m_mutex);
        return m_all;
    }

private:
    std::mutex m_mutex;
    std::vector<Arrival> m_all;
};

static auto run(Record &record, Deployment &deployment, bool hasTrouble) -> int
{
    auto arrivals = Arrivals();
    const auto didArrive = [&](const std::string &attempt) { arrivals.add(attempt, record.now()); };
    auto &machine = deployment.machines[0];
    auto &former = *machine.upstream;
    former.setArrivalHandler(didArrive);
    if (!deployment.start()) {
        record.line("the nodes did not get ready");
        return CouldNotRun;
    }
    auto client = Client(record, *machine.node);
    if (!waitUntil([&] { return arrivals.all().size() >= 20; }, 20s)) {
        record.line("the upstream that is to leave got no requests");
        return CouldNotRun;
    }
    std::this_thread::sleep_for(2s);

    machine.heartbeats->stop();
    auto *leaving = &former;
    auto sequence = machine.heartbeats->nextSequence();
    auto successor = std::unique_ptr<Upstream>();
    if (hasTrouble) {
        former.exit();
        record.line("upstream " + former.instance() + " crashes");
        std::this_thread::sleep_for(Downtime);
        successor = std::make_unique<Upstream>(record, former.address().ip, former.service(), former.instance(),
                                               Upstream::Behaviour(), former.address().port);
        successor->setArrivalHandler(didArrive);
        leaving = successor.get();
        sequence = 1;
        record.line("upstream " + leaving->instance() + " starts again under its id");
        std::this_thread::sleep_for(FirstHeartbeat);
    }

    auto acknowledgedAt = std::optional<long long>();
    const auto end = Clock::now() + ServesAfterLeaving;
    while (Clock::now() < end) {
        const auto answer = exchange(machine.node->control(),
                                     leaving->heartbeat(machine.node->zone(), "draining", sequence++), 1s);
        record.line("heartbeat 'draining' of " + leaving->instance() + ": "
                    + (answer ? std::to_string(answer->status()) : std::string("no answer")));
        if (!acknowledgedAt && answer && answer->status() == 200)
            acknowledgedAt = record.now();
        std::this_thread::sleep_for(HeartbeatInterval);
    }
    client.stop();
    leaving->exit();
    record.line("upstream " + leaving->instance() + " ends");
    if (!acknowledgedAt) {
        record.line("the leaving was not acknowledged");
        return CouldNotRun;
    }

    auto late = 0;
    for (const auto &it : arrivals.all()) {
        const auto after = it.at - *acknowledgedAt;
        if (after <= DrainTime.count())
            continue;
        ++late;
        record.line("DRAIN " + it.attempt + " reached " + leaving->instance() + " " + std::to_string(after)
                    + " ms after the acknowledgement; sent "
                    + std::to_string(client.sentAt(it.attempt) - *acknowledgedAt) + " ms after it");
    }
    record.line("requests: " + std::to_string(client.sent())
                + ", at the leaving upstream against the rule: " + std::to_string(late));
    return late > 0 ? RuleBroken : RuleHeld;
}

/// Arguments: the repository, a directory for settings and logs, record.txt, 1 or 0 for the crash.
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
