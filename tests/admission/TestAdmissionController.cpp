#include <criterion/criterion.h>

#include "Gate.h"

using namespace stairspur;
using namespace stairspur::admission;
using namespace stairspur::admission::test;

Test(AdmissionController, greaterLevelsAreDispatchedFirst)
{
    auto gate = warmGate(1);
    gate.offer(1, makeLevel(2, 0));
    gate.offer(2, makeLevel(2, 5));
    gate.offer(3, makeLevel(0, 1));
    gate.offer(4, makeLevel(0, 1));
    gate.offer(5, makeLevel(1, 127));
    auto order = std::vector<CallId>();
    while (!gate.running.empty()) {
        order.push_back(gate.running.front());
        gate.completeOldest();
    }
    cr_assert(order == std::vector<CallId>({1, 3, 4, 5, 2}));
}

Test(AdmissionController, fullQueueRefusesTheLowestLevel)
{
    struct Case
    {
        Level newcomer;
        CallId refused;
        Reason reason;
    };
    const Case cases[] = {
            {makeLevel(0, 0), 3, Reason::Evicted}, // The last call of the lowest level is evicted.
            {makeLevel(1, 8), 3, Reason::Evicted}, // The hash decides within a class.
            {makeLevel(1, 7), 9, Reason::QueueFull},  // A later call of an equal level is refused.
            {makeLevel(2, 99), 9, Reason::QueueFull}, // A call of a lower level evicts none.
    };
    for (const auto &it : cases) {
        auto gate = warmGate(1, 3);
        gate.offer(0, makeLevel(0, 0));
        gate.offer(1, makeLevel(0, 0));
        gate.offer(2, makeLevel(1, 7));
        gate.offer(3, makeLevel(1, 7));
        const auto actions = gate.offer(9, it.newcomer);
        cr_assert_eq(actions.refuse.size(), 1);
        cr_assert_eq(actions.refuse[0].id, it.refused);
        cr_assert(actions.refuse[0].reason == it.reason);
        cr_assert_eq(gate.controller.queued(), 3);
    }
}

Test(AdmissionController, callsThatWouldBeLateAreRefusedAtOnce)
{
    struct Case
    {
        Duration remaining;
        int ahead; // Calls before it, each of which occupies the only slot for 10 ms.
        Reason reason;
    };
    const Case cases[] = {
            {25_ms, 0, Reason::None},
            {15_ms, 0, Reason::WaitExceedsDeadline},
            {45_ms, 2, Reason::None},
            {35_ms, 2, Reason::WaitExceedsDeadline},
            {0_ms, 0, Reason::DeadlineExceeded},
    };
    for (const auto &it : cases) {
        auto gate = warmGate(1);
        for (auto id = CallId{0}; id <= static_cast<CallId>(it.ahead); ++id)
            gate.offer(id, makeLevel(0, 0));
        gate.offer(9, makeLevel(0, 0), it.remaining);
        cr_assert(gate.refused[9] == it.reason, "remaining %ld", it.remaining.count());
    }
}

Test(AdmissionController, waitCountsOnlyCallsAhead)
{
    auto gate = warmGate(1);
    for (auto id = CallId{0}; id < 6; ++id)
        gate.offer(id, makeLevel(3, 0));
    gate.offer(9, makeLevel(0, 0), 25_ms);
    cr_assert(gate.refused.empty());
    gate.completeOldest();
    cr_assert_eq(gate.running.front(), 9);
}

Test(AdmissionController, expiredCallsAreNeverDispatched)
{
    auto gate = warmGate(1);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(0, 0), 40_ms);
    gate.now += 50_ms;
    gate.complete(1);
    cr_assert(gate.running.empty());
    cr_assert(gate.refused[2] == Reason::DeadlineExceeded);
}

Test(AdmissionController, waitingCallsAreRefusedWhenTheyBecomeTooLate)
{
    auto gate = warmGate(1);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(0, 0), 40_ms);
    gate.advance(10_ms);
    cr_assert(gate.refused.empty());
    gate.advance(15_ms);
    cr_assert(gate.refused[2] == Reason::WaitExceedsDeadline);
}

Test(AdmissionController, idleBackendReceivesCallsAfterASlowdown)
{
    auto gate = warmGate(4);
    gate.offer(1, makeLevel(0, 0));
    gate.complete(1, Completion::Succeeded, 5000_ms);
    gate.offer(2, makeLevel(0, 0), 100_ms);
    cr_assert_eq(gate.running.size(), 1);
    gate.offer(3, makeLevel(0, 0), 100_ms);
    cr_assert(gate.refused[3] == Reason::WaitExceedsDeadline);
}

Test(AdmissionController, limitFollowsTheOutcomeOfCalls)
{
    struct Case
    {
        Completion completion;
        Duration latency;
        int times;
        std::uint32_t min, max; // Bounds of the limit, which was 8 of 16 slots.
    };
    const Case cases[] = {
            {Completion::Succeeded, 10_ms, 8, 16, 16}, {Completion::Cancelled, 10_ms, 50, 8, 8},
            {Completion::Shed, 1_ms, 1, 6, 6},         {Completion::Shed, 1_ms, 50, 1, 1},
            {Completion::TimedOut, 50_ms, 50, 1, 1},   {Completion::TimedOut, 1_ms, 50, 8, 8},
            {Completion::Failed, 10_ms, 5, 8, 8},      {Completion::Failed, 10_ms, 60, 1, 1},
    };
    for (const auto &it : cases) {
        auto settings = AdmissionSettings();
        settings.initialLimit = 7;
        auto gate = Gate(settings);
        auto next = CallId{0};
        const auto fill = [&] {
            for (auto i = 0; i < 4; ++i)
                gate.offer(next++, makeLevel(0, 0), 1'000'000_ms);
        };
        fill();
        gate.completeOldest(Completion::Succeeded, 10_ms);
        for (auto i = 0; i < it.times; ++i) {
            fill();
            gate.now += 20_ms;
            gate.completeOldest(it.completion, it.latency);
        }
        const auto limit = gate.controller.report(gate.now).limit;
        cr_assert(it.min <= limit && limit <= it.max, "%d times %d: limit %u", it.times,
                  static_cast<int>(it.completion), limit);
    }
}

Test(AdmissionController, initialLimitDoublesWithEachRound)
{
    auto settings = AdmissionSettings();
    settings.reportedSlots = 110;
    auto gate = Gate(settings);
    cr_assert_eq(gate.controller.report(gate.now).limit, 4);
    auto next = CallId{0};
    for (auto round = 0; round < 5; ++round) {
        const auto fill = [&] {
            while (gate.controller.queued() < 2)
                gate.offer(next++, makeLevel(0, 0));
        };
        fill();
        gate.now += 10_ms;
        for (auto n = gate.running.size(); n > 0; --n) {
            gate.completeOldest();
            fill();
        }
    }
    cr_assert_eq(gate.controller.report(gate.now).limit, 110);
}

Test(AdmissionController, reportedSlotsBoundTheLimit)
{
    auto gate = warmGate(8);
    gate.controller.setReportedSlots(3);
    cr_assert_eq(gate.controller.report(gate.now).limit, 3);
    gate.controller.setReportedSlots(0);
    cr_assert_eq(gate.controller.report(gate.now).limit, 1);
}

Test(AdmissionController, drainRefusesNewAndWaitingCallsOnly)
{
    auto gate = warmGate(1);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(0, 0));
    gate.record(gate.controller.startDraining(gate.now, gate.random));
    gate.offer(3, makeLevel(0, 0));
    cr_assert(gate.refused[2] == Reason::Draining && gate.refused[3] == Reason::Draining);
    cr_assert(gate.controller.inFlight() == 1 && !gate.refused.contains(1));
    const auto report = gate.controller.report(gate.now);
    cr_assert(report.isDraining && report.floorFor(0) == ClosedLevel);
}

Test(AdmissionController, cancelledCallsLeaveWithoutRefusal)
{
    auto gate = warmGate(1);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(0, 0));
    gate.record(gate.controller.cancel(2, gate.now, gate.random));
    gate.record(gate.controller.cancel(1, gate.now, gate.random));
    cr_assert(gate.refused.empty() && gate.controller.queued() == 0);
    cr_assert_eq(gate.controller.inFlight(), 1,
                 "it occupies its slot until the backend server has ended it");
    gate.complete(1, Completion::Cancelled);
    cr_assert_eq(gate.controller.inFlight(), 0);
}

Test(AdmissionController, retryAfterIsJitteredBoundedAndGrows)
{
    auto gate = warmGate(1, 1);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(0, 0));
    auto first = Duration(0);
    auto last = Duration(0);
    auto distinct = std::map<Duration, int>();
    for (auto id = CallId{10}; id < 1010; ++id) {
        const auto refusal = gate.offer(id, makeLevel(1, 0)).refuse.at(0);
        cr_assert(Duration(0) < refusal.retryAfter && refusal.retryAfter <= 10'000_ms);
        first += id < 30 ? refusal.retryAfter : Duration(0);
        last += id >= 990 ? refusal.retryAfter : Duration(0);
        ++distinct[refusal.retryAfter];
    }
    cr_assert(last > 5 * first);
    cr_assert(distinct.size() > 900);
}

Test(AdmissionController, reportsAreOrderedAndContainTheLoad)
{
    auto gate = warmGate(2);
    const auto idle = gate.controller.report(gate.now);
    cr_assert(idle.estimatedWait == Duration(0) && idle.limit == 2);
    for (auto id = CallId{1}; id <= 5; ++id)
        gate.offer(id, makeLevel(0, 0));
    const auto loaded = gate.controller.report(gate.now);
    cr_assert(loaded.sequence > idle.sequence);
    cr_assert(loaded.inFlight == 2 && loaded.queued == 3);
    cr_assert(loaded.estimatedWait == 20_ms);
}

Test(AdmissionController, overtakenCallsAreRefusedWithAllBelow)
{
    auto gate = warmGate(1, 6);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(1, 5)); // All later calls overtake this one.
    gate.offer(3, makeLevel(1, 4));
    gate.offer(4, makeLevel(1, 6));
    for (auto id = CallId{10}; id < 15; ++id) {
        gate.offer(id, makeLevel(0, 0));
        gate.completeOldest();
        cr_assert(gate.refused.empty(), "refused after %lu", id);
    }
    gate.offer(15, makeLevel(0, 0));
    gate.completeOldest();
    cr_assert(gate.refused.contains(2) && gate.refused.contains(3));
    cr_assert(gate.refused[4] == Reason::Evicted && gate.refused[2] == Reason::Evicted);
    gate.offer(20, makeLevel(1, 3));
    cr_assert(gate.refused[20] == Reason::BelowFloor,
              "must not be served instead of the refused calls");
}

Test(AdmissionController, stalledBackendCausesNoEarlyRefusal)
{
    auto gate = warmGate(2);
    for (auto id = CallId{1}; id <= 6; ++id)
        gate.offer(id, makeLevel(0, 0), 2000_ms);
    gate.advance(1500_ms);
    cr_assert(gate.refused.empty());
}

Test(AdmissionController, replacedBackendStartsAtTheInitialLimit)
{
    auto settings = AdmissionSettings();
    settings.reportedSlots = 8;
    auto gate = Gate(settings);
    gate.controller.setReportedSlots(32);
    for (auto id = CallId{1}; id <= 200; ++id) {
        gate.offer(id, makeLevel(0, 0));
        if (gate.controller.queued() > 0)
            gate.completeOldest();
    }
    const auto running = gate.controller.inFlight();
    cr_assert(running > 20 && gate.controller.report(gate.now).limit == 32);
    gate.controller.didReplaceBackend();
    cr_assert_eq(gate.controller.report(gate.now).limit, 4);
    cr_assert_eq(gate.controller.inFlight(), running, "the running calls have not ended");
    gate.completeOldest();
    cr_assert_eq(gate.controller.inFlight(), running - 1, "no call is dispatched above the limit");
}

Test(AdmissionController, smallerQueueBoundRefusesTheLowest)
{
    auto gate = warmGate(1);
    for (auto id = CallId{1}; id <= 5; ++id)
        gate.offer(id, makeLevel(0, 10 - id));
    gate.controller.setMaxQueue(2);
    gate.advance(1_ms);
    cr_assert(gate.refused.contains(4) && gate.refused.contains(5));
    cr_assert_eq(gate.controller.queued(), 2);
}
