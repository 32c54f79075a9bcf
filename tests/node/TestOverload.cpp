#include <criterion/criterion.h>

#include <measure/overload/Simulation.h>

using namespace stairspur;
using namespace stairspur::overload;

namespace {

/// Returns a scenario with the phases of the measurement, but shorter.
auto shortScenario(const Deployment &deployment, double overload) -> Scenario
{
    auto scenario = Scenario();
    scenario.deployment = deployment;
    scenario.overload = overload;
    scenario.phases = {Duration(3'000'000), Duration(2'000'000), Duration(8'000'000),
                       Duration(4'000'000)};
    return scenario;
}

struct Case
{
    Deployment deployment;
    double overload;
};

auto cases() -> std::vector<Case>
{
    return {{association(), 2}, {association(), 5}, {kargoleaf(), 2}, {kargoleaf(), 5}};
}

auto lostTries(const ClassResult &result) -> std::uint64_t
{
    return result.tries - result.answered;
}

} // namespace

Test(Overload, fullPolicyMeetsItsTargets)
{
    for (const auto &it : cases()) {
        const auto scenario = shortScenario(it.deployment, it.overload);
        const auto results = runScenario(scenario, Policy::Full);
        const auto *name = it.deployment.name.c_str();
        const auto capacity = it.deployment.capacity(scenario.slowdown);
        const auto &top = results.classes().front();
        cr_assert(top.offered > 0 && top.goodput() >= 0.99, "%s %.0f: top %.4f", name, it.overload,
                  top.goodput());
        cr_assert_eq(lostTries(top), 0, "%s %.0f: top lost %lu", name, it.overload, lostTries(top));
        cr_assert(results.surgeGoodput() >= 0.9 * capacity, "%s %.0f: goodput %.3f", name,
                  it.overload, results.surgeGoodput() / capacity);
        cr_assert(results.wastedShare() <= 0.03, "%s %.0f: wasted %.4f", name, it.overload,
                  results.wastedShare());
        const auto recovery = results.recovery();
        cr_assert(Duration(0) <= recovery && recovery <= Duration(1'000'000),
                  "%s %.0f: recovery %ld us", name, it.overload, recovery.count());
        cr_assert_leq(results.maxDispatches(), scenario.dispatchBound());
    }
}

Test(Overload, sameSeedGivesTheSameRun)
{
    auto scenario = shortScenario(association(), 5);
    const auto first = runScenario(scenario, Policy::Full);
    const auto second = runScenario(scenario, Policy::Full);
    cr_assert_eq(first.surgeGoodput(), second.surgeGoodput());
    cr_assert_eq(first.wastedShare(), second.wastedShare());
    scenario.seed = 2;
    cr_assert_neq(first.wastedShare(), runScenario(scenario, Policy::Full).wastedShare());
}

Test(Overload, worsePoliciesMissTheTargets)
{
    // If every policy met the targets, they would not show the effect of the full policy.
    const auto scenario = shortScenario(association(), 2);
    const auto fifo = runScenario(scenario, Policy::Fifo);
    const auto fixed = runScenario(scenario, Policy::FixedLimits);
    const auto capacity = scenario.deployment.capacity(scenario.slowdown);
    cr_assert_lt(fifo.classes().front().goodput(), 0.9);
    cr_assert_lt(fixed.classes().front().goodput(), 0.9);
    cr_assert_lt(fifo.surgeGoodput(), 0.9 * capacity);
    cr_assert_gt(fifo.maxDispatches(), scenario.dispatchBound());
}
