#include "ProcessFleet.h"

/// Real processes: nothing is sent to a backend server whose leaving was acknowledged, whatever else arrives afterwards.
using namespace stairspur;
using namespace stairspur::platform;

/// Requests that reach the first host's backend server in two seconds after the acknowledgement.
class LateRequests
{
public:
    explicit LateRequests(int network)
        : fleet(network)
        , host(fleet.hosts[0])
        , backend(*host.backends[0])
    {}

    /// `everyHeartbeat` is what else arrives at the node, once in each heartbeat interval.
    auto expectNone(const std::function<void()> &everyHeartbeat = {}) -> void
    {
        const auto before = backend.server->runs();
        const auto failures = fleet.drive(2s, everyHeartbeat);
        const auto late = backend.server->runs() - before;
        cr_expect_eq(late, 0, "%d late requests", late);
        cr_expect_eq(failures, 0, "%d requests failed although two others serve", failures);
    }

    auto sendReady() -> void { ProcessFleet::beat(host, backend, "ready"); }

    static constexpr auto FirstStart = std::uint64_t{1'700'000'000'000};

    ProcessFleet fleet;
    ProcessFleet::Host &host;
    ProcessFleet::Backend &backend;
};

Test(AcknowledgedLeaving, aHeartbeatLoopThatGoesOnDoesNotRevokeIt)
{
    auto test = LateRequests(91);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "draining"), 200);
    test.expectNone([&] { test.sendReady(); });
}

Test(AcknowledgedLeaving, aHeartbeatWithTheSameSequenceDoesNotRevokeIt)
{
    auto test = LateRequests(92);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "draining"), 200);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "ready", test.backend.sequence), 200);
    test.expectNone();
}

Test(AcknowledgedLeaving, isRecordedAlsoWhenALaterHeartbeatHasOvertakenIt)
{
    auto test = LateRequests(93);
    test.backend.sequence += 2;
    test.sendReady();
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "draining", test.backend.sequence - 1),
                 200);
    test.expectNone([&] { test.sendReady(); });
}

Test(AcknowledgedLeaving, outlastsARestartOfTheNodeAndALateHeartbeat)
{
    auto test = LateRequests(94);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "draining"), 200);
    test.fleet.restartNode(test.host);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "ready", 1), 200);
    test.expectNone();
}

Test(AcknowledgedLeaving, ofAnInstanceThatHasLeftOutlastsARestartOfTheNode)
{
    auto test = LateRequests(95);
    cr_assert_eq(ProcessFleet::leave(test.host, test.backend), 200);
    test.fleet.restartNode(test.host);
    test.expectNone([&] { test.sendReady(); });
}

Test(AcknowledgedLeaving, outlastsASuccessorThatFallsSilent)
{
    auto test = LateRequests(96);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "draining"), 200);
    auto &successor = test.fleet.addBackend(test.host, "i-successor");
    cr_assert_eq(ProcessFleet::beat(test.host, successor, "ready"), 200);
    // The successor's timeout is 1.5 s.
    test.fleet.drive(1s, [&] { test.sendReady(); });
    test.expectNone([&] { test.sendReady(); });
}

Test(AcknowledgedLeaving, ofAnInstanceThatIsNotTheCurrentOneIsRecorded)
{
    auto test = LateRequests(97);
    auto &successor = test.fleet.addBackend(test.host, "i-successor");
    cr_assert_eq(ProcessFleet::beat(test.host, successor, "ready"), 200);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "draining"), 200);
    test.fleet.drive(1s, [&] { test.sendReady(); });
    test.expectNone([&] { test.sendReady(); });
}

Test(AcknowledgedLeaving, holdsWhileTheStoreIsDown)
{
    auto test = LateRequests(98);
    test.fleet.stopStore();
    cr_assert_eq(ProcessFleet::leave(test.host, test.backend), 200);
    test.expectNone([&] { test.sendReady(); });
}

Test(AcknowledgedLeaving, outlastsASuspensionOfTheNode)
{
    auto test = LateRequests(99);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "draining"), 200);
    test.host.node->signal(SIGSTOP);
    for (auto n = 0; n < 8; ++n) {
        test.fleet.sendOtherHeartbeats();
        std::this_thread::sleep_for(ProcessFleet::HeartbeatInterval);
    }
    test.host.node->signal(SIGCONT);
    test.expectNone([&] { test.sendReady(); });
}

Test(AcknowledgedLeaving, doesNotKeepASuccessorFromServing)
{
    auto test = LateRequests(90);
    cr_assert_eq(ProcessFleet::beat(test.host, test.backend, "draining"), 200);
    test.fleet.restartNode(test.host);
    auto &successor = test.fleet.addBackend(test.host, "i-successor");
    test.fleet.drive(1s, [&] { ProcessFleet::beat(test.host, successor, "ready"); });
    const auto before = successor.server->runs();
    test.fleet.drive(1s, [&] { ProcessFleet::beat(test.host, successor, "ready"); });
    cr_assert_gt(successor.server->runs(), before);
}

/// Guards against requests to a restarted backend server that leaves at once, while its former process counts as serving.
Test(AcknowledgedLeaving, ofAServerThatHasStartedAgainUnderItsNameEndsTheFormerProcess)
{
    for (const auto usesDelete : {false, true}) {
        auto test = LateRequests(usesDelete ? 101 : 102);
        test.backend.startedAtMs = LateRequests::FirstStart;
        test.sendReady();
        test.fleet.drive(1s, [&] { test.sendReady(); });
        test.backend.startedAtMs = LateRequests::FirstStart + 1;
        test.backend.sequence = 0;
        const auto status = usesDelete ? ProcessFleet::leave(test.host, test.backend)
                                       : ProcessFleet::beat(test.host, test.backend, "draining");
        cr_assert_eq(status, 200);
        test.expectNone();
    }
}

// Late heartbeats brought a server back into service whose leaving had been acknowledged before all nodes, or all but one, were
// killed at the same time.
Test(AcknowledgedLeaving, outlastsAKillOfAllNodes, .timeout = 300)
{
    struct
    {
        int network;
        bool usesDelete;
        std::size_t sparedNodes;
        std::chrono::milliseconds pause;
    } const cases[] = {{103, true, 0, 500ms},
                       {104, false, 0, 500ms},
                       {105, true, 1, 500ms},
                       {106, true, 0, 0ms}};
    for (const auto &it : cases) {
        auto test = LateRequests(it.network);
        const auto status = it.usesDelete ? ProcessFleet::leave(test.host, test.backend)
                                          : ProcessFleet::beat(test.host, test.backend, "draining");
        cr_assert_eq(status, 200);
        test.fleet.restartNodes(it.pause, it.sparedNodes);
        test.fleet.drive(2s, [&] { test.sendReady(); });
        test.expectNone([&] { test.sendReady(); });
    }
}

// A server that was never told to leave has to serve again after a kill of all nodes.
Test(AcknowledgedLeaving, doesNotKeepOtherServersFromServingAfterAKillOfAllNodes, .timeout = 120)
{
    auto test = LateRequests(107);
    test.fleet.restartNodes(0ms);
    test.fleet.drive(3s, [&] { test.sendReady(); });
    const auto before = test.backend.server->runs();
    cr_assert_eq(test.fleet.drive(1s, [&] { test.sendReady(); }), 0);
    cr_assert_gt(test.backend.server->runs(), before);
}
