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
            {makeLevel(0, 0), 3, Reason::Evicted},    // The lowest leaves, the latest among equals.
            {makeLevel(1, 8), 3, Reason::Evicted},    // The hash decides within a class.
            {makeLevel(1, 7), 9, Reason::QueueFull},  // An equal comes too late.
            {makeLevel(2, 99), 9, Reason::QueueFull}, // A lower one is no reason to evict.
    };
    for (const auto &it : cases) {
        auto gate = warmGate(1, 3);
        gate.offer(0, makeLevel(0, 0));
        gate.offer(1, makeLevel(0, 0));
        gate.offer(2, makeLevel(1, 7));
        gate.offer(3, makeLevel(1, 7));
        const auto progress = gate.offer(9, it.newcomer);
        cr_assert_eq(progress.refuse.size(), 1);
        cr_assert_eq(progress.refuse[0].id, it.refused);
        cr_assert(progress.refuse[0].reason == it.reason);
        cr_assert_eq(gate.controller.queued(), 3);
    }
}

Test(AdmissionController, callsThatWouldBeLateAreRefusedAtOnce)
{
    struct Case
    {
        Duration remaining;
        int ahead; // Calls before it, each of which takes 10 ms on the one slot.
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

Test(AdmissionController, waitCountsOnlyThoseAhead)
{
    auto gate = warmGate(1);
    for (auto id = CallId{0}; id < 6; ++id)
        gate.offer(id, makeLevel(3, 0));
    gate.offer(9, makeLevel(0, 0), 25_ms);
    cr_assert(gate.refused.empty());
    gate.completeOldest();
    cr_assert_eq(gate.running.front(), 9);
}

Test(AdmissionController, expiredWorkIsNeverDispatched)
{
    auto gate = warmGate(1);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(0, 0), 40_ms);
    gate.now += 50_ms;
    gate.complete(1);
    cr_assert(gate.running.empty());
    cr_assert(gate.refused[2] == Reason::DeadlineExceeded);
}

Test(AdmissionController, waitingCallsAreRefusedWhenTheyTurnHopeless)
{
    auto gate = warmGate(1);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(0, 0), 40_ms);
    gate.pass(10_ms);
    cr_assert(gate.refused.empty());
    gate.pass(15_ms);
    cr_assert(gate.refused[2] == Reason::WaitExceedsDeadline);
}

Test(AdmissionController, idleBackendIsTriedThoughItWasSlow)
{
    auto gate = warmGate(4);
    gate.offer(1, makeLevel(0, 0));
    gate.complete(1, Completion::Succeeded, 5000_ms);
    gate.offer(2, makeLevel(0, 0), 100_ms);
    cr_assert_eq(gate.running.size(), 1);
    gate.offer(3, makeLevel(0, 0), 100_ms);
    cr_assert(gate.refused[3] == Reason::WaitExceedsDeadline);
}

Test(AdmissionController, limitFollowsWhatEndedCallsTell)
{
    struct Case
    {
        Completion completion;
        Duration latency;
        int times;
        std::uint32_t least, most; // Of the limit, which was 8 of 16 slots.
    };
    const Case cases[] = {
            {Completion::Succeeded, 10_ms, 8, 16, 16}, {Completion::Cancelled, 10_ms, 50, 8, 8},
            {Completion::Shed, 1_ms, 1, 6, 6},         {Completion::Shed, 1_ms, 50, 1, 1},
            {Completion::TimedOut, 50_ms, 50, 1, 1},   {Completion::TimedOut, 1_ms, 50, 8, 8},
            {Completion::Failed, 10_ms, 5, 8, 8},      {Completion::Failed, 10_ms, 60, 1, 1},
    };
    for (const auto &it : cases) {
        auto settings = AdmissionSettings();
        settings.coldLimit = 7;
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
        cr_assert(it.least <= limit && limit <= it.most, "%d times %d: limit %u", it.times,
                  static_cast<int>(it.completion), limit);
    }
}

Test(AdmissionController, coldLimitDoublesWithEachRound)
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
    gate.note(gate.controller.startDraining(gate.now, gate.random));
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
    gate.note(gate.controller.cancel(2, gate.now, gate.random));
    gate.note(gate.controller.cancel(1, gate.now, gate.random));
    cr_assert(gate.refused.empty() && gate.controller.queued() == 0);
    cr_assert_eq(gate.controller.inFlight(), 1, "it holds its place until the backend let go");
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

Test(AdmissionController, reportsAreOrderedAndTellTheLoad)
{
    auto gate = warmGate(2);
    const auto before = gate.controller.report(gate.now);
    cr_assert(before.estimatedWait == Duration(0) && before.limit == 2);
    for (auto id = CallId{1}; id <= 5; ++id)
        gate.offer(id, makeLevel(0, 0));
    const auto after = gate.controller.report(gate.now);
    cr_assert(after.sequence > before.sequence);
    cr_assert(after.inFlight == 2 && after.queued == 3);
    cr_assert(after.estimatedWait == 20_ms);
}

Test(AdmissionController, overtakenCallsAreRefusedWithAllBelow)
{
    auto gate = warmGate(1, 6);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(1, 5)); // Is overtaken by all that follow.
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
    cr_assert(gate.refused[20] == Reason::BelowFloor, "must not take the place of the refused");
}

Test(AdmissionController, stalledBackendRefusesNobodyBeforeItsTime)
{
    auto gate = warmGate(2);
    for (auto id = CallId{1}; id <= 6; ++id)
        gate.offer(id, makeLevel(0, 0), 2000_ms);
    gate.pass(1500_ms);
    cr_assert(gate.refused.empty());
}

Test(AdmissionController, replacedBackendStartsCold)
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
    cr_assert_eq(gate.controller.inFlight(), running, "they have not ended");
    gate.completeOldest();
    cr_assert_eq(gate.controller.inFlight(), running - 1, "nobody takes the place above the limit");
}

Test(AdmissionController, smallerQueueLetsTheLowestGo)
{
    auto gate = warmGate(1);
    for (auto id = CallId{1}; id <= 5; ++id)
        gate.offer(id, makeLevel(0, 10 - id));
    gate.controller.setMaxQueue(2);
    gate.pass(1_ms);
    cr_assert(gate.refused.contains(4) && gate.refused.contains(5));
    cr_assert_eq(gate.controller.queued(), 2);
}
