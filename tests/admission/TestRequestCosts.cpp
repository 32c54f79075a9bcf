#include <criterion/criterion.h>

#include "../../source/admission/RequestCosts.h"
#include "../../source/admission/ServingOrder.h"

using namespace stairspur;
using namespace stairspur::admission;
using namespace std::chrono_literals;

static constexpr auto Start = TimePoint{1h};
static constexpr auto Cheap = FloorKey(2, 11);
static constexpr auto Expensive = FloorKey(2, 22);

static auto measure(RequestCosts &costs, FloorKey kind, Duration latency,
                    std::uint32_t callsPerRoot = 1) -> void
{
    for (auto n = 0; n < 50; ++n) {
        costs.didOffer(kind, callsPerRoot, Start);
        costs.didMeasure(kind, latency);
    }
}

Test(ServingOrder, risesWithTheLevelForAnyNumberOfYieldingLevels)
{
    for (auto yielding = 0U; yielding < HashesPerClass; ++yielding) {
        for (auto hash = 1U; hash < HashesPerClass; ++hash) {
            const auto below = servingOrderOf(makeLevel(2, hash - 1), yielding);
            const auto order = servingOrderOf(makeLevel(2, hash), yielding);
            cr_assert(below <= order);
            cr_assert(order < servingOrderOf(makeLevel(1, 0), HashesPerClass - 1),
                      "a class stays below the next more important one");
        }
    }
}

Test(ServingOrder, yieldingLevelsAreLastInTheirClass)
{
    const auto lowestOther = servingOrderOf(makeLevel(2, 0), 0);
    cr_assert(servingOrderOf(makeLevel(2, 63), 64) < lowestOther);
    cr_assert(servingOrderOf(makeLevel(2, 64), 64) >= lowestOther);
    cr_assert(servingOrderOf(makeLevel(2, 0), 64) > servingOrderOf(makeLevel(3, 127), 0));
}

Test(ServingOrder, floorsConvertToTheLowestAdmittedLevel)
{
    for (auto yielding = 0U; yielding < HashesPerClass; yielding += 9) {
        for (auto value = 0U; value <= ClosedOrder.value; value += 7) {
            const auto order = ServingOrder{static_cast<std::uint16_t>(value)};
            const auto floor = lowestLevelAt(order, yielding);
            if (floor < ClosedLevel)
                cr_assert(servingOrderOf(floor, yielding) >= order, "%u, %u", value, yielding);
            if (floor > LowestLevel) {
                const auto below = Level{static_cast<std::uint16_t>(floor.value - 1)};
                cr_assert(servingOrderOf(below, yielding) < order, "%u, %u", value, yielding);
            }
        }
    }
}

Test(RequestCosts, onlyAPartOfKindsWithAMultipleOfTheCostYields)
{
    struct Case
    {
        Duration latency;
        std::uint32_t callsPerRoot;
        bool yields;
    };
    for (const auto &it : {Case{10ms, 4, false}, Case{48ms, 1, false}, Case{80ms, 1, true},
                           Case{480ms, 1, true}, Case{30ms, 12, true}}) {
        auto costs = RequestCosts();
        measure(costs, Cheap, 10ms, 4);
        measure(costs, Expensive, it.latency, it.callsPerRoot);
        costs.advanceTo(Start + 1s);
        const auto yielding = costs.yieldingLevelsOf(Expensive);
        cr_assert_eq(yielding > 0, it.yields, "%ld us, %u calls", it.latency.count(),
                     it.callsPerRoot);
        cr_assert_lt(yielding, HashesPerClass * 3 / 4, "no kind starves");
        cr_assert_eq(costs.yieldingLevelsOf(Cheap), 0);
    }
}

Test(RequestCosts, comparesKindsWithinAClassAfterEnoughCalls)
{
    auto costs = RequestCosts();
    measure(costs, FloorKey(0, 11), 10ms);
    measure(costs, Expensive, 480ms);
    costs.advanceTo(Start + 1s);
    cr_assert_eq(costs.yieldingLevelsOf(Expensive), 0, "the cheap kind is of another class");
    costs.didOffer(Cheap, 1, Start);
    costs.didMeasure(Cheap, 10ms);
    costs.advanceTo(Start + 2s);
    cr_assert_eq(costs.yieldingLevelsOf(Expensive), 0, "one call is not enough for a mean");
}

Test(RequestCosts, removesKindsWithoutCalls)
{
    auto costs = RequestCosts();
    measure(costs, Cheap, 10ms);
    costs.advanceTo(Start + 1s);
    for (auto now = Start + 2s; now < Start + 40s; now += 1s) {
        costs.didOffer(Expensive, 1, now);
        costs.didMeasure(Expensive, 480ms);
        costs.advanceTo(now);
    }
    cr_assert_eq(costs.yieldingLevelsOf(Expensive), 0, "no cheaper kind is left");
    cr_assert_eq(costs.serviceTimeOf(Cheap, 7ms), 7ms);
}
