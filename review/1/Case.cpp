// An upstream hands out second answers that arrive late, and rejects some requests because it is full. An order that was rejected
// is sent to it again; the late second copy of the rejection is taken for the answer, and the order is sent once more.

#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "../standins/Deployment.h"

using namespace review;
using namespace std::chrono_literals;

static constexpr auto OrderWork = Milliseconds(60);
static constexpr auto Deadline = Milliseconds(5'000);
static constexpr auto Clients = 8;
/// The disruption strikes ten times, for as long as the sites' lists say at most.
static constexpr auto Times = 10;
static constexpr auto DisturbedTime = Milliseconds(5'000);
static constexpr auto CalmTime = Milliseconds(1'000);
static constexpr auto RejectedShare = 0.15;
static constexpr auto SecondAnswerShare = 0.03;
static constexpr auto Seed = 20'261'204U;

struct Order
{
    std::string attempt;
    int status = 0; ///< 0: no answer.
};

/// Clients of the first machine send orders one after the other, each with an id of its own, and don't ask again.
static auto sendOrders(Record &record, const Node &node, Clock::time_point end) -> std::vector<Order>
{
    auto orders = std::vector<Order>();
    auto mutex = std::mutex();
    auto threads = std::vector<std::thread>();
    for (auto client = 0; client < Clients; ++client) {
        threads.emplace_back([&, client] {
            for (auto n = 0; Clock::now() < end; ++n) {
                const auto attempt = "order-" + std::to_string(client) + "-" + std::to_string(n);
                const auto answer = exchange(
                        node.outbound(),
                        clientRequest("POST", "/narocila/", OrderWork, attempt, Deadline), Deadline);
                const auto lock = std::scoped_lock(mutex);
                orders.push_back({attempt, answer ? answer->status() : 0});
                if (!answer || answer->status() != 200)
                    record.line(attempt
                                + (answer ? " answered " + std::to_string(answer->status())
                                          : std::string(" without an answer")));
            }
        });
    }
    for (auto &it : threads)
        it.join();
    return orders;
}

static auto disturb(Record &record, Upstream &upstream) -> void
{
    for (auto n = 0; n < Times; ++n) {
        record.line("the disruption of " + upstream.instance() + " begins");
        upstream.setDisturbed(true);
        std::this_thread::sleep_for(DisturbedTime);
        upstream.setDisturbed(false);
        record.line("the disruption of " + upstream.instance() + " ends");
        std::this_thread::sleep_for(CalmTime);
    }
}

static auto run(Record &record, Deployment &deployment) -> int
{
    if (!deployment.start()) {
        record.line("the nodes did not get ready");
        return CouldNotRun;
    }
    const auto &node = *deployment.machines[0].node;
    auto tries = 0;
    const auto isServed = waitUntil(
            [&] {
                const auto order = exchange(node.outbound(),
                                            clientRequest("POST", "/narocila/", OrderWork,
                                                          "first-" + std::to_string(++tries), Deadline),
                                            Deadline);
                return order && order->status() == 200;
            },
            20s);
    if (!isServed) {
        record.line("the first requests were not served");
        return CouldNotRun;
    }
    const auto end = Clock::now() + Times * (DisturbedTime + CalmTime);
    auto disruption = std::thread([&] { disturb(record, *deployment.machines[1].upstream); });
    const auto orders = sendOrders(record, node, end);
    disruption.join();
    std::this_thread::sleep_for(1s);

    auto twice = 0;
    auto refused = 0;
    auto served = 0;
    for (const auto &it : orders) {
        auto runs = 0;
        for (const auto &machine : deployment.machines)
            runs += machine.upstream->runsOf(it.attempt);
        served += it.status == 200 ? 1 : 0;
        twice += runs > 1 ? 1 : 0;
        if (runs > 1)
            record.line("TWICE " + it.attempt + " ran " + std::to_string(runs) + " times; answered "
                        + std::to_string(it.status));
        const auto isRefused = it.status == 503 || it.status == 429;
        refused += isRefused && runs > 0 ? 1 : 0;
        if (isRefused && runs > 0)
            record.line("REFUSED " + it.attempt + " answered " + std::to_string(it.status) + ", and ran "
                        + std::to_string(runs) + " times");
    }
    record.line("orders: " + std::to_string(orders.size()) + ", served: " + std::to_string(served)
                + ", ran twice: " + std::to_string(twice) + ", refused though run: "
                + std::to_string(refused));
    return twice + refused > 0 ? RuleBroken : RuleHeld;
}

/// Arguments: the repository, a directory for settings and logs, record.txt, 1 or 0 for second answers.
auto main(int count, char **arguments) -> int
{
    if (count != 5)
        return CouldNotRun;
    try {
        auto record = Record(arguments[3]);
        const auto hasExtra = std::string(arguments[4]) != "0";
        auto behaviour = Upstream::Behaviour();
        behaviour.rejectedShare = RejectedShare;
        behaviour.secondAnswerShare = hasExtra ? SecondAnswerShare : 0;
        behaviour.seed = Seed;
        auto deployment = Deployment(record, arguments[1], arguments[2], {"jedilnik", "narocila", "karte"},
                                     {{"/narocila/", "unsafe", "narocila", 0},
                                      {"/jedilnik/", "safe", "jedilnik", 2},
                                      {"/karte/", "safe", "karte", 2}},
                                     {{"narocila", behaviour}});
        const auto result = run(record, deployment);
        deployment.end();
        // The threads of the stand-ins still run, so that nothing is destroyed.
        std::_Exit(result);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::_Exit(CouldNotRun);
}
