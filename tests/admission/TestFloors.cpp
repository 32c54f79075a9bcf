#include <criterion/criterion.h>

#include "Gate.h"

using namespace stairspur;
using namespace stairspur::admission;
using namespace stairspur::admission::test;

namespace {

/// Offers `perMillisecond` calls of three classes with uniformly distributed hashes each millisecond to a gate of 10 slots.
/// The backend server takes 10 ms for a call, so that its capacity is one call each millisecond. Calls below the floor are
/// not offered, as entries refuse them.
struct Demand
{
    Gate gate = warmGate(10);
    Random random{7};
    CallId next = 1;
    std::map<CallId, TimePoint> ends;

    auto run(double perMillisecond, Duration time) -> void
    {
        for (const auto end = gate.now + time; gate.now < end;) {
            gate.advance(1_ms);
            while (!gate.running.empty() && ends[gate.running.front()] <= gate.now)
                recordDispatch(gate.completeOldest());
            for (auto due = perMillisecond; randomUnit(random) < due; due -= 1.0)
                offer();
        }
    }

    auto offer() -> void
    {
        const auto level = makeLevel(static_cast<ClassRank>(randomBelow(random, 3)), random());
        if (level >= floor())
            recordDispatch(gate.offer(next++, level));
    }

    auto recordDispatch(const AdmissionActions &actions) -> void
    {
        for (auto it : actions.dispatch)
            ends[it] = gate.now + 10_ms;
    }

    auto floor() -> Level { return gate.controller.report(gate.now).floorFor(0); }
};

} // namespace

Test(Floors, stayLowBelowCapacity)
{
    auto demand = Demand();
    for (auto i = 0; i < 20; ++i) {
        demand.run(0.7, 100_ms);
        cr_assert_lt(demand.floor().value, makeLevel(2, 32).value);
    }
}

Test(Floors, matchTheCapacityUnderOverloadWithoutOscillation)
{
    // Three calls arrive each millisecond, a third of them of each class. Only class 0 fits.
    auto demand = Demand();
    demand.run(3.0, 1000_ms);
    auto admitted = demand.next;
    for (auto i = 0; i < 40; ++i) {
        demand.run(3.0, 50_ms);
        const auto floor = demand.floor();
        cr_assert(floor >= makeLevel(1, 64) && floor <= makeLevel(0, 64), "floor %u", floor.value);
    }
    admitted = demand.next - admitted;
    cr_assert(admitted > 1900 && admitted < 2150, "%lu calls sent, 2000 fit", admitted);
}

Test(Floors, fallWithinAFractionOfASecond)
{
    auto demand = Demand();
    demand.run(5.0, 2000_ms);
    cr_assert(demand.floor() > makeLevel(1, 0));
    demand.run(0.7, 500_ms);
    cr_assert(demand.floor() <= makeLevel(2, 16), "floor %u", demand.floor().value);
}

Test(Floors, fallWithoutCalls)
{
    auto demand = Demand();
    demand.run(5.0, 1000_ms);
    demand.run(0.0, 500_ms);
    cr_assert_eq(demand.floor().value, LowestLevel.value);
}

Test(Floors, neverRefuseTheOnlyClassEntirely)
{
    auto gate = warmGate(1);
    auto next = CallId{1};
    for (auto i = 0; i < 300; ++i) {
        gate.advance(10_ms);
        if (!gate.running.empty())
            gate.completeOldest();
        for (auto n = 0; n < 5; ++n)
            gate.offer(next++, makeLevel(4, 50));
        cr_assert(gate.controller.report(gate.now).floorFor(4) <= makeLevel(4, 50));
    }
}

Test(Floors, reportsContainTheMaximumOfOwnAndDeeperFloorsByClass)
{
    auto gate = warmGate(1);
    gate.controller.setDeeperFloors({makeLevel(0, 9), makeLevel(0, 3)});
    const auto report = gate.controller.report(gate.now);
    cr_assert_eq(report.floorFor(0).value, makeLevel(0, 9).value);
    cr_assert_eq(report.floorFor(1).value, makeLevel(0, 3).value);
    cr_assert_eq(report.floorFor(9).value, makeLevel(0, 3).value);
}

Test(Floors, deeperFloorsRefuseAClassOnlyWithAllLessImportantOnes)
{
    struct Case
    {
        const char *what;
        std::vector<Level> deeper;
        Level level;
        bool isRefused;
    };
    const Case cases[] = {
            {"missing", {}, makeLevel(2, 0), false},
            {"below the floor", {makeLevel(1, 0)}, makeLevel(2, 0), true},
            {"at the floor", {makeLevel(1, 0)}, makeLevel(1, 0), false},
            {"closed", {ClosedLevel}, makeLevel(0, 127), true},
            {"wrong: the top class alone", {ClosedLevel, LowestLevel}, makeLevel(0, 0), false},
            {"wrong: the middle class alone",
             {LowestLevel, ClosedLevel, LowestLevel},
             makeLevel(1, 0),
             false},
            {"lower classes alone", {LowestLevel, ClosedLevel}, makeLevel(1, 0), true},
            {"lower classes alone", {LowestLevel, ClosedLevel}, makeLevel(0, 0), false},
            {"out of range", {Level{65535}, LowestLevel}, makeLevel(0, 0), false},
    };
    for (const auto &it : cases) {
        auto gate = warmGate(1);
        gate.controller.setDeeperFloors(it.deeper);
        gate.offer(1, it.level);
        cr_assert_eq(gate.refused.contains(1), it.isRefused, "%s", it.what);
        cr_assert(!it.isRefused || gate.refused[1] == Reason::BelowFloor);
    }
}

Test(Floors, deeperFloorsApplyToWaitingCalls)
{
    auto gate = warmGate(1);
    gate.offer(1, makeLevel(0, 0));
    gate.offer(2, makeLevel(2, 0));
    gate.controller.setDeeperFloors({makeLevel(1, 0)});
    gate.offer(3, makeLevel(2, 1));
    cr_assert(gate.refused[2] == Reason::BelowFloor && gate.refused[3] == Reason::BelowFloor);
}

Test(Floors, staleDeeperFloorsExpire)
{
    auto gate = warmGate(1);
    gate.controller.setDeeperFloors({ClosedLevel});
    gate.advance(10_ms);
    cr_assert_eq(gate.controller.report(gate.now).floorFor(0).value, ClosedLevel.value);
    gate.advance(900_ms);
    gate.controller.setDeeperFloors({ClosedLevel});
    gate.advance(900_ms);
    cr_assert_eq(gate.controller.report(gate.now).floorFor(0).value, ClosedLevel.value);
    gate.advance(1100_ms);
    gate.offer(1, makeLevel(5, 0));
    cr_assert(gate.refused.empty());
    cr_assert_eq(gate.controller.report(gate.now).floorFor(0).value, LowestLevel.value);
}

Test(Floors, doNotEnterAClassWhileALessImportantOneWaits)
{
    auto gate = warmGate(2);
    auto next = CallId{1};
    for (auto i = 0; i < 200; ++i) {
        gate.advance(5_ms);
        if (!gate.running.empty())
            gate.completeOldest();
        for (auto n = 0; n < 4; ++n, ++next)
            gate.offer(next, makeLevel(n < 3 ? 0 : 1, next * 7));
        const auto report = gate.controller.report(gate.now);
        const auto hasLower = gate.lowestWaiting() < makeLevel(0, 0);
        cr_assert(!hasLower || report.floorFor(0) <= makeLevel(0, 0));
    }
    cr_assert(gate.controller.report(gate.now).floorFor(0) > makeLevel(1, 0));
}

Test(Floors, areEnforcedOnTheLastCallAtAFullGate)
{
    auto demand = Demand();
    demand.run(3.0, 2000_ms);
    auto &gate = demand.gate;
    const auto floor = demand.floor();
    cr_assert(gate.controller.queued() > 0 && floor > makeLevel(2, 127));
    gate.offer(1'000'001, makeLevel(3, 0));
    cr_assert(gate.refused[1'000'001] == Reason::BelowFloor);
    gate.offer(1'000'002, makeLevel(0, 127));
    cr_assert(!gate.refused.contains(1'000'002));
}
