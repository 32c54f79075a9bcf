#include <criterion/criterion.h>

#include <measure/overload/Simulation.h>

using namespace stairspur;
using namespace stairspur::overload;

/// Simulates an overload of the deepest service and returns the result of the least important class. The entries where
/// requests begin must learn the floor of the deepest service at each number of hosts. The load of each host is the same at
/// each size, so in a larger fleet a host receives reports of another one less often: about ten times a second for each pair
/// of an entry and a gate with 20 hosts, less than once a second with 2,000.
static auto runSurge(std::uint32_t hosts) -> ClassResult
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

/// Returns the share of the tries without an answer that a backend server had started to execute.
static auto startedShare(const ClassResult &result) -> double
{
    const auto lost = result.lostBeforeStart + result.lostAfterStart;
    return static_cast<double>(result.lostAfterStart) / static_cast<double>(lost);
}

/// With floors estimated for each pair of an entry and a gate, the shares were 0.27, 0.39 and 0.45; with floors estimated
/// from all reports together, they are 0.13, 0.08 and 0.09.
Test(FleetFloors, requestsThatCannotCompleteAreRefusedBeforeTheyStart, .timeout = 600)
{
    const auto few = startedShare(runSurge(20));
    cr_assert_leq(few, 0.16, "20 hosts: %.3f", few);
    for (const auto hosts : {200U, 2000U}) {
        const auto result = runSurge(hosts);
        cr_assert_leq(startedShare(result), few, "%u hosts: %.3f", hosts, startedShare(result));
        cr_assert_geq(result.goodput(), 0.38, "%u hosts: %.3f served", hosts, result.goodput());
    }
}
