// A machine gets SIGTERM while its upstream works on a long request. Its node goes on to take orders of its clients up to its own
// end, passes them on, and ends without answering them.

#include <cstdio>
#include <mutex>
#include <thread>

#include "../standins/Deployment.h"

using namespace review;
using namespace std::chrono_literals;

/// What became of one order.
struct Order
{
    std::string attempt;
    long long sentAt = 0;
    long long endedAt = 0;
    int status = 0; ///< 0: the connection ended without a whole answer.
    bool wasSent = false;
};

static constexpr auto OrderWork = Milliseconds(800);
static constexpr auto MenuWork = Milliseconds(2'700);
static constexpr auto Deadline = Milliseconds(5'000);

class Clients
{
public:
    Clients(Record &record, const Deployment &deployment)
        : m_record(record)
        , m_deployment(deployment)
    {}

    /// Sends one order from a client of the first machine, on a thread of its own.
    auto sendOrder() -> void
    {
        const auto attempt = "order-" + std::to_string(++m_orders);
        m_threads.emplace_back([this, attempt] { order(attempt); });
    }

    /// Sends one long menu view from a client of the second machine.
    auto sendMenuView() -> void
    {
        const auto attempt = "menu-" + std::to_string(++m_menus);
        m_threads.emplace_back([this, attempt] {
            const auto answer =
                    exchange(m_deployment.machines[1].node->outbound(),
                             clientRequest("GET", "/jedilnik/", MenuWork, attempt, Deadline), Deadline);
            m_record.line(attempt + (answer ? " answered " + std::to_string(answer->status())
                                            : std::string(" without an answer")));
        });
    }

    auto wait() -> void
    {
        for (auto &it : m_threads)
            it.join();
        m_threads.clear();
    }

    auto results() const -> const std::vector<Order> & { return m_results; }

private:
    auto order(const std::string &attempt) -> void
    {
        auto result = Order{attempt, 0, 0, 0, false};
        const auto connection = Connection::open(m_deployment.machines[0].node->outbound());
        result.sentAt = m_record.now();
        result.wasSent =
                connection
                && connection->write(clientRequest("POST", "/narocila/", OrderWork, attempt, Deadline));
        const auto answer =
                result.wasSent ? connection->read(Clock::now() + Deadline) : std::nullopt;
        result.status = answer ? answer->status() : 0;
        result.endedAt = m_record.now();
        m_record.line(attempt + " sent at " + std::to_string(result.sentAt)
                      + (result.status != 0 ? " answered " + std::to_string(result.status)
                         : result.wasSent   ? std::string(" connection ended without an answer")
                                            : std::string(" no connection")));
        const auto lock = std::scoped_lock(m_mutex);
        m_results.push_back(result);
    }

    Record &m_record;
    const Deployment &m_deployment;
    int m_orders = 0;
    int m_menus = 0;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<Order> m_results;
};

/// Whether the rule LOST counts this order: passed on, cut off, and under none of the rule's excuses.
static auto isLost(const Order &it, Deployment &deployment, std::optional<long long> termAt) -> bool
{
    static constexpr auto LongestExcused = 3'000; ///< Sent no later than this after the SIGTERM.
    const auto hasBegun = std::ranges::any_of(
            deployment.machines, [&](auto &machine) { return machine.upstream->runsOf(it.attempt) > 0; });
    const auto isCut = it.wasSent && it.status == 0 && it.endedAt - it.sentAt < Deadline.count();
    const auto isExcused = termAt && it.sentAt <= *termAt + LongestExcused;
    return isCut && hasBegun && !isExcused;
}

static auto run(Record &record, Deployment &deployment, bool hasTrouble) -> int
{
    auto clients = Clients(record, deployment);
    if (!deployment.start()) {
        record.line("the nodes did not get ready");
        return CouldNotRun;
    }
    auto &target = *deployment.machines[0].node;
    auto tries = 0;
    const auto isServed = waitUntil(
            [&] {
                const auto number = std::to_string(++tries);
                const auto order = exchange(
                        target.outbound(),
                        clientRequest("POST", "/narocila/", 10ms, "first-order-" + number, Deadline),
                        Deadline);
                const auto menu = exchange(
                        deployment.machines[1].node->outbound(),
                        clientRequest("GET", "/jedilnik/", 10ms, "first-menu-" + number, Deadline),
                        Deadline);
                return order && order->status() == 200 && menu && menu->status() == 200;
            },
            20s);
    if (!isServed) {
        record.line("the first requests were not served");
        return CouldNotRun;
    }

    const auto start = Clock::now();
    const auto term = start + 3s;
    const auto end = term + GraceTime + 1s;
    auto termAt = std::optional<long long>();
    auto nextMenuView = start;
    auto nextReadiness = start;
    while (Clock::now() < end) {
        if (hasTrouble && !termAt && Clock::now() >= term) {
            termAt = record.now();
            record.line("SIGTERM to " + target.name());
            target.signal(SIGTERM);
        }
        if (hasTrouble && termAt && Clock::now() >= term + GraceTime)
            target.signal(SIGKILL);
        if (Clock::now() >= nextReadiness) {
            nextReadiness += 1s;
            std::thread([&record, &target] {
                record.line(target.name() + (target.isReady() ? " is ready" : " is not ready"));
            }).detach();
        }
        if (Clock::now() >= nextMenuView) {
            nextMenuView += 200ms;
            clients.sendMenuView();
        }
        // The only node of its zone is out, so that fewer than half are in, and its clients go on.
        if (!target.hasEnded())
            clients.sendOrder();
        else if (hasTrouble)
            break;
        std::this_thread::sleep_for(50ms);
    }
    record.line(target.name() + (target.hasEnded() ? " has ended" : " runs"));
    clients.wait();

    auto lost = 0;
    for (const auto &it : clients.results()) {
        if (!isLost(it, deployment, termAt))
            continue;
        ++lost;
        record.line("LOST " + it.attempt + ": sent "
                    + (termAt ? std::to_string(it.sentAt - *termAt) + " ms after the SIGTERM"
                              : std::string("in calm"))
                    + ", an upstream worked on it, cut off after "
                    + std::to_string(it.endedAt - it.sentAt) + " ms of " + std::to_string(Deadline.count()));
    }
    record.line("orders: " + std::to_string(clients.results().size()) + ", lost: " + std::to_string(lost));
    return lost > 0 ? RuleBroken : RuleHeld;
}

/// Arguments: the repository, a directory for settings and logs, record.txt, 1 or 0 for the disruption.
auto main(int count, char **arguments) -> int
{
    if (count != 5)
        return CouldNotRun;
    try {
        auto record = Record(arguments[3]);
        auto deployment = Deployment(record, arguments[1], arguments[2], {"jedilnik", "narocila", "narocila"},
                                     {{"/jedilnik/", "safe", "jedilnik", 2},
                                      {"/narocila/", "unsafe", "narocila", 0}});
        const auto result = run(record, deployment, std::string(arguments[4]) != "0");
        deployment.end();
        // The threads of the stand-ins still run, so that nothing is destroyed.
        std::_Exit(result);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::_Exit(CouldNotRun);
}
