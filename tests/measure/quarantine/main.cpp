// Measures the costs of the quarantine of poison requests: bytes between nodes by fleet size, and processor time per call.
#include <chrono>
#include <cstdio>

#include "../../quarantine/VirtualFleet.h"

using namespace stairspur;
using namespace stairspur::quarantine;

/// Number of requests that run at one backend server when it crashes. At 93 calls a second of 0.1 s each there are nine; users
/// saw 20 to 60.
static constexpr auto RunningRequests = std::uint64_t{60};

/// Measures the messages after one crash whose requests are all answered later.
static auto measureCrash(std::size_t hosts) -> void
{
    auto fleet = VirtualFleet(hosts, 1);
    fleet.loss = 0;
    fleet.runFor(std::chrono::seconds(30));
    const auto idleBefore = fleet.bytes;
    fleet.runFor(std::chrono::seconds(60));
    const auto idle = fleet.bytes - idleBefore;
    for (auto n = std::uint64_t{0}; n < RunningRequests; ++n)
        fleet.offerTo(0, requestOf(n));
    const auto before = fleet.bytes;
    fleet.crash(0);
    fleet.runFor(std::chrono::seconds(5));
    const auto nodes = static_cast<double>(hosts);
    std::printf(
            "%5zu hosts: idle %.1f B/s a node; one crash with %llu suspects, all of them answered "
            "later: %.0f B sent a node\n",
            hosts, static_cast<double>(idle) / 60 / nodes,
            static_cast<unsigned long long>(RunningRequests),
            static_cast<double>(fleet.bytes - before) / nodes);
}

/// Measures how long it takes until all nodes refuse a request, and the messages while it is recorded.
static auto measureRefusal(std::size_t hosts) -> void
{
    auto fleet = VirtualFleet(hosts, 1);
    fleet.loss = 0;
    fleet.runFor(std::chrono::seconds(30));
    const auto poison = requestOf(1);
    for (auto n = 0; n < 3; ++n)
        fleet.state(0).didCrash({poison}, fleet.now());
    auto elapsed = Duration::zero();
    // The state's datagrams are sent at its next tick.
    while (fleet.refusing(poison) < hosts && elapsed < std::chrono::seconds(30)) {
        fleet.runFor(std::chrono::milliseconds(1));
        elapsed += std::chrono::milliseconds(1);
    }
    const auto before = fleet.bytes;
    fleet.runFor(std::chrono::seconds(60));
    std::printf(
            "%5zu hosts: all nodes refuse a request after %lld ms at most; then %.1f B/s a node\n",
            hosts, toMilliseconds(elapsed),
            static_cast<double>(fleet.bytes - before) / 60 / static_cast<double>(hosts));
}

template <typename Action>
static auto measureTime(const char *what, Action action) -> void
{
    static constexpr auto Times = 200'000;
    const auto begin = HostClock::now();
    for (auto n = 0; n < Times; ++n)
        action(n);
    const auto took = std::chrono::duration<double, std::micro>(HostClock::now() - begin);
    std::printf("%-60s %.3f us\n", what, took.count() / Times);
}

static auto measureCalls() -> void
{
    auto state = QuarantineState({.node = "a"}, 1, monotonicNow());
    const auto body = std::string(1'000, 'x');
    measureTime("fingerprint of a request without body", [](int) {
        const auto it = fingerprintOf({.service = "menu",
                                       .caller = "kitchen",
                                       .method = "GET",
                                       .host = "a.example",
                                       .target = "/menu/12345?page=3"});
        if (it.high == 0 && it.low == 0)
            std::puts("zero");
    });
    measureTime("fingerprint of a request with a body of 1,000 bytes", [&body](int n) {
        const auto it = fingerprintOf({.service = "menu",
                                       .method = "POST",
                                       .host = "a.example",
                                       .target = std::to_string(n),
                                       .body = body});
        if (it.high == 0 && it.low == 0)
            std::puts("zero");
    });
    const auto now = monotonicNow();
    measureTime("decision on a request without crashes, and its answer", [&](int n) {
        const auto request = RequestFingerprint{1, static_cast<std::uint64_t>(n)};
        if (state.decide(request, now).status == QuarantineStatus::Clear)
            state.didAnswer(request, now);
    });
}

auto main() -> int
{
    for (const auto hosts : {5, 27, 200, 1000})
        measureCrash(static_cast<std::size_t>(hosts));
    for (const auto hosts : {5, 27, 200, 1000})
        measureRefusal(static_cast<std::size_t>(hosts));
    measureCalls();
    return 0;
}
