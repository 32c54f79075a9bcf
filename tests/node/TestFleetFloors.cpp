#include <criterion/criterion.h>

#include <measure/overload/Simulation.h>

using namespace stairspur;
using namespace stairspur::overload;

/// Whether what the deepest service admits is known where requests begin, whatever the number of hosts. Each host's own
/// load is the same at every size, so that in a larger fleet one host hears of another less often: with 20 hosts each pair
/// of an entry and a gate speaks some ten times a second, with 2,000 less than once.
static auto surgeOf(std::uint32_t hosts) -> ClassResult
{
    auto scenario = Scenario();
    scenario.deployment = fleetOf(hosts);
    scenario.overload = 1.7;
    scenario.slowdown = 1.0;
    scenario.loadBefore = 0.9;
    scenario.hasExactSlots = true;
    scenario.entersAnywhere = true;
    scenario.path = PathKey{7};
    scenario.gateTick = Duration(20'000);
    scenario.phases = {Duration(1'500'000), Duration(500'000), Duration(3'000'000),
                       Duration(1'500'000)};
    scenario.clients.classShares = {0.25, 0.75};
    scenario.clients.timeout = Duration(1'500'000);
    scenario.clients.maxTries = 2;
    scenario.clients.honoursRetryAfter = true;
    const auto results = runScenario(scenario, Policy::Full);
    const auto &important = results.classes().front();
    const auto lostImportant = important.lostBeforeStart + important.lostAfterStart;
    cr_assert_leq(lostImportant * 1000, important.tries,
                  "%u hosts: %lu of %lu important tries lost", hosts, lostImportant,
                  important.tries);
    return results.classes().back();
}

/// Of the tries without an answer, those that a backend server had begun to work for.
static auto begunShare(const ClassResult &result) -> double
{
    const auto lost = result.lostBeforeStart + result.lostAfterStart;
    return static_cast<double>(result.lostAfterStart) / static_cast<double>(lost);
}

/// With floors taken pair by pair the shares were 0.27, 0.39 and 0.45; of what reports tell together 0.13, 0.08 and 0.09.
Test(FleetFloors, requestsThatCannotEndAreRefusedBeforeTheyBeginAtEverySize, .timeout = 600)
{
    const auto few = begunShare(surgeOf(20));
    cr_assert_leq(few, 0.16, "20 hosts: %.3f", few);
    for (const auto hosts : {200U, 2000U}) {
        const auto result = surgeOf(hosts);
        cr_assert_leq(begunShare(result), few, "%u hosts: %.3f", hosts, begunShare(result));
        cr_assert_geq(result.goodput(), 0.38, "%u hosts: %.3f served", hosts, result.goodput());
    }
}
