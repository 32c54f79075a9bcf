#include "VirtualFleet.h"

// Included after the standard headers, because its macros replace words that they use.
#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::quarantine;

static constexpr auto Poison = std::uint64_t{1'000'000};

/// Sends each poison request every 70 ms, as clients and their entries retry it, among other requests that are sent once.
static auto runTraffic(VirtualFleet &fleet, Duration time, const std::vector<std::uint64_t> &poison,
                       std::uint64_t &others) -> void
{
    static constexpr auto Between = Duration{10'000};
    static constexpr auto PoisonEvery = 7;
    for (auto n = 0; Between * n < time; ++n) {
        for (auto k = std::size_t{0}; k < std::max<std::size_t>(1, fleet.size() / 20); ++k)
            fleet.offer(requestOf(others++));
        if (n % PoisonEvery == 0) {
            for (const auto it : poison)
                fleet.offer(requestOf(it));
        }
        fleet.runFor(Between);
    }
}

static auto unanswered(VirtualFleet &fleet, std::uint64_t others) -> std::size_t
{
    auto n = std::size_t{0};
    for (auto it = std::uint64_t{0}; it < others; ++it)
        n += fleet.sends[requestOf(it)] > 0 && fleet.answers[requestOf(it)] == 0 ? 1 : 0;
    return n;
}

/// If the gates sent each other no messages, each of them would lose a backend server: 15, 200, 2,000 sends.
Test(QuarantineFleet, sendsAfterTheThirdCrashDoNotGrowWithTheFleet)
{
    for (const auto hosts : {15, 200, 2000}) {
        for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
            auto fleet = VirtualFleet(hosts, seed);
            fleet.poison = {requestOf(Poison)};
            auto others = std::uint64_t{0};
            runTraffic(fleet, std::chrono::seconds(8), {Poison}, others);
            const auto after = fleet.sendsAfterThirdCrash(requestOf(Poison));
            cr_expect_leq(after, 3, "%d hosts, seed %zu: %zu sends after the third crash", hosts,
                          seed, after);
            // Three crashes, three by later sends, and two by sends that are running at the third crash.
            const auto crashes = fleet.crashTimes[requestOf(Poison)].size();
            cr_expect_leq(crashes, 3 + 3 + 2, "%d hosts, seed %zu: %zu", hosts, seed, crashes);
            cr_expect_eq(fleet.refusing(requestOf(Poison)), hosts);
            fleet.runFor(std::chrono::seconds(3));
            cr_expect_eq(unanswered(fleet, others), 0, "%d hosts, seed %zu: %zu others lost", hosts,
                         seed, unanswered(fleet, others));
        }
    }
}

Test(QuarantineFleet, twoPoisonRequestsAreRefusedWithoutOthers)
{
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        auto fleet = VirtualFleet(30, seed);
        fleet.poison = {requestOf(Poison), requestOf(Poison + 1)};
        auto others = std::uint64_t{0};
        runTraffic(fleet, std::chrono::seconds(8), {Poison, Poison + 1}, others);
        fleet.runFor(std::chrono::seconds(3));
        for (const auto it : {Poison, Poison + 1}) {
            cr_expect_leq(fleet.sendsAfterThirdCrash(requestOf(it)), 3, "seed %zu", seed);
            cr_expect_eq(fleet.refusing(requestOf(it)), 30, "seed %zu", seed);
        }
        cr_expect_eq(unanswered(fleet, others), 0, "seed %zu", seed);
    }
}

/// A node that starts, and one that was behind a network partition, refuse the request before it crashes their servers.
Test(QuarantineFleet, startedAndPartitionedNodesReceiveRefusalsInTime)
{
    static constexpr auto CatchUpWithin = std::chrono::seconds(3);
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto fleet = VirtualFleet(15, seed);
        fleet.poison = {requestOf(Poison)};
        auto others = std::uint64_t{0};
        fleet.partitionAt(5);
        runTraffic(fleet, std::chrono::seconds(5), {Poison}, others);
        cr_expect_eq(fleet.refusing(requestOf(Poison)), 15,
                     "each side of the partition identifies the request by itself");
        fleet.endPartition();
        for (auto host = std::size_t{0}; host < 14; ++host)
            fleet.startNode(host);
        fleet.runFor(CatchUpWithin);
        cr_expect_eq(fleet.refusing(requestOf(Poison)), 15, "seed %zu: %zu of 15 refuse it", seed,
                     fleet.refusing(requestOf(Poison)));
    }
}

/// Eight times, 0.4 of the backend servers crash for other reasons while requests run, some of which are sent repeatedly.
Test(QuarantineFleet, unrelatedCrashesRefuseNoRequest)
{
    static constexpr auto Popular = std::uint64_t{200};
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        auto fleet = VirtualFleet(15, seed);
        auto refused = std::size_t{0};
        auto others = Popular;
        for (auto wave = 0; wave < 8; ++wave) {
            for (auto n = 0; n < 100; ++n) {
                fleet.offer(requestOf(others++));
                fleet.offer(requestOf(randomBelow(fleet.random(), Popular)));
                if (n == 50) {
                    for (auto host = std::size_t{0}; host < 6; ++host)
                        fleet.crash((host + wave) % fleet.size());
                }
                fleet.runFor(Duration{10'000});
            }
        }
        for (auto it = std::uint64_t{0}; it < others; ++it)
            refused += fleet.refusing(requestOf(it)) > 0 ? 1 : 0;
        cr_expect_eq(refused, 0, "seed %zu: %zu requests are refused", seed, refused);
    }
}

/// After the refusal time, one node runs a refused request again; a complete response clears it on all nodes.
Test(QuarantineFleet, oneNodeRunsARefusedRequestAgainAndClearsItOnceFixed)
{
    auto fleet = VirtualFleet(15, 7);
    fleet.poison = {requestOf(Poison)};
    auto others = std::uint64_t{0};
    runTraffic(fleet, std::chrono::seconds(5), {Poison}, others);
    const auto waitForHold = [&fleet] {
        const auto decision = fleet.state(0).decide(requestOf(Poison), fleet.now());
        fleet.runFor(decision.retryAfter + std::chrono::seconds(1));
    };
    waitForHold();
    cr_assert_eq(fleet.refusing(requestOf(Poison)), 14, "all nodes but one still refuse it");
    const auto before = fleet.sends[requestOf(Poison)];
    for (auto host = std::size_t{0}; host < fleet.size(); ++host)
        fleet.offerTo(host, requestOf(Poison));
    fleet.runFor(std::chrono::seconds(1));
    cr_assert_eq(fleet.sends[requestOf(Poison)], before + 1, "it runs once in the whole service");
    cr_assert_eq(fleet.refusing(requestOf(Poison)), 15, "it still crashes backend servers");

    fleet.poison.clear();
    waitForHold();
    for (auto host = std::size_t{0}; host < fleet.size(); ++host)
        fleet.offerTo(host, requestOf(Poison));
    fleet.runFor(std::chrono::seconds(2));
    cr_assert_eq(fleet.refusing(requestOf(Poison)), 0, "one complete response clears it");
}

Test(QuarantineFleet, releasedRequestRunsAgainOnAllNodes)
{
    auto fleet = VirtualFleet(15, 7);
    fleet.poison = {requestOf(Poison)};
    auto others = std::uint64_t{0};
    runTraffic(fleet, std::chrono::seconds(5), {Poison}, others);
    fleet.poison.clear();
    cr_assert_eq(fleet.state(3).release(requestOf(Poison).name(), fleet.now()), 1);
    cr_assert_eq(fleet.state(3).release(requestOf(Poison).name(), fleet.now()), 0);
    // Digests bring the release to all nodes even if all datagrams that were sent at once are lost.
    fleet.runFor(std::chrono::seconds(10));
    cr_assert_eq(fleet.refusing(requestOf(Poison)), 0);
}

/// All nodes restart at once. Without the saved record, three more backend servers would crash before the request is refused.
Test(QuarantineFleet, savedRecordIsRestoredAfterAllNodesRestart)
{
    auto fleet = VirtualFleet(15, 7);
    fleet.poison = {requestOf(Poison)};
    auto others = std::uint64_t{0};
    runTraffic(fleet, std::chrono::seconds(5), {Poison}, others);
    const auto saved = fleet.state(0).save(requestOf(Poison), fleet.now());
    for (auto host = std::size_t{0}; host < fleet.size(); ++host)
        fleet.startNode(host);
    cr_assert_eq(fleet.refusing(requestOf(Poison)), 0);
    fleet.state(4).restore(saved, fleet.now());
    fleet.runFor(std::chrono::seconds(3));
    cr_assert_eq(fleet.refusing(requestOf(Poison)), 15,
                 "the one node that read it sends it to the others");
}

static auto stateOf(const NodeId &node, TimePoint now) -> QuarantineState
{
    auto settings = QuarantineSettings();
    settings.node = node;
    auto state = QuarantineState(settings, 1, now);
    state.setPeers({"peer"});
    return state;
}

/// A host that was suspended may have missed all datagrams. Its clock counts that time, so it sends digests to peers again.
Test(QuarantineState, suspendedNodeSendsDigests)
{
    auto now = TimePoint{Duration{1'000'000'000}};
    auto state = stateOf("a", now);
    const auto second = std::chrono::seconds(1);
    for (auto n = 0; n < 12; ++n)
        state.tick(now += second);
    state.takeDatagrams();
    state.tick(now += second);
    cr_assert(state.takeDatagrams().empty(), "the time of catching up is over");
    state.tick(now += 30 * second);
    cr_assert(!state.takeDatagrams().empty());
}

/// When thousands of requests are recorded, those with the fewest crashes are removed first.
Test(QuarantineState, recordsAreBounded)
{
    auto now = TimePoint{Duration{1'000'000'000}};
    auto state = stateOf("a", now);
    const auto poison = requestOf(Poison);
    for (auto n = 0; n < 3; ++n)
        state.didCrash({poison}, now);
    auto request = std::uint64_t{0};
    for (auto crash = 0; crash < 200; ++crash) {
        auto ran = std::vector<RequestFingerprint>();
        for (auto n = 0; n < 60; ++n)
            ran.push_back(requestOf(request++));
        state.didCrash(ran, now += std::chrono::milliseconds(10));
    }
    cr_assert_eq(state.size(), QuarantineSettings().maxRecords);
    cr_assert(state.decide(poison, now).status == QuarantineStatus::Refused);
    now += std::chrono::hours(3);
    state.tick(now);
    cr_assert_eq(state.size(), 0, "all records expire");
}

/// A request that crashes servers and is never answered is refused again each time that it has run.
Test(QuarantineState, refusalTimeDoublesWithEachCrash)
{
    auto now = TimePoint{Duration{1'000'000'000}};
    auto state = stateOf("a", now);
    state.setPeers({});
    const auto settings = QuarantineSettings();
    auto expected = settings.initialRefusalTime;
    for (auto n = 0; n < 2; ++n)
        state.didCrash({requestOf(1)}, now);
    for (auto n = 0; n < 20; ++n) {
        state.didCrash({requestOf(1)}, now);
        const auto decision = state.decide(requestOf(1), now);
        cr_assert(decision.status == QuarantineStatus::Refused);
        cr_assert_eq(decision.retryAfter.count(), expected.count(), "crash %d", n);
        expected = std::min(2 * expected, settings.maxRefusalTime);
        now += decision.retryAfter;
        state.tick(now);
        cr_assert(state.decide(requestOf(1), now).status == QuarantineStatus::Suspected);
    }
}

/// The report of a crash may arrive after the next run of the requests that ran there.
Test(QuarantineState, answerClearsACrashThatIsReportedLater)
{
    auto now = TimePoint{Duration{1'000'000'000}};
    auto first = stateOf("a", now);
    auto second = stateOf("b", now);
    second.didAnswer(requestOf(1), now);
    now += std::chrono::milliseconds(1);
    for (auto n = 0; n < 3; ++n)
        first.didCrash({requestOf(1), requestOf(2)}, now);
    for (const auto &it : first.takeDatagrams())
        second.receive("a", it.payload, now);
    cr_assert(second.decide(requestOf(1), now).status == QuarantineStatus::Clear);
    cr_assert(second.decide(requestOf(2), now).status == QuarantineStatus::Refused);
    // A crash of its own backend server is not recorded either for a request that the server has just answered.
    second.didCrash({requestOf(1)}, now);
    second.didCrash({requestOf(1)}, now);
    cr_assert(second.decide(requestOf(1), now).status == QuarantineStatus::Clear);
}
