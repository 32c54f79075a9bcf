#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "Simulation.h"

DEFINE_uint64(seed, 1, "Seed of the runs");
DEFINE_bool(json, false, "Print JSON in place of the tables");
DEFINE_bool(honour_retry_after, false, "Clients wait as long as a refusal tells them");
DEFINE_string(deployment, "", "Only this deployment: association or kargoleaf");
DEFINE_string(policy, "", "Only this policy");
DEFINE_double(overload, 0, "Only this overload; 0 runs 2 and 5");

using namespace stairspur;
using namespace stairspur::overload;

namespace {

struct Run
{
    Scenario scenario;
    Policy policy = Policy::Full;
    Results results;
};

auto runAll() -> std::vector<Run>
{
    auto runs = std::vector<Run>();
    for (const auto &deployment : {association(), kargoleaf()}) {
        if (!FLAGS_deployment.empty() && FLAGS_deployment != deployment.name)
            continue;
        for (const auto overload : {2.0, 5.0}) {
            if (FLAGS_overload > 0 && FLAGS_overload != overload)
                continue;
            for (const auto policy : {Policy::Full, Policy::Fifo, Policy::FixedLimits,
                                      Policy::WithoutFloors, Policy::WithoutHashLevels}) {
                if (!FLAGS_policy.empty() && FLAGS_policy != nameOf(policy))
                    continue;
                auto scenario = Scenario();
                scenario.deployment = deployment;
                scenario.overload = overload;
                scenario.seed = FLAGS_seed;
                scenario.clients.honoursRetryAfter = FLAGS_honour_retry_after;
                runs.push_back({scenario, policy, runScenario(scenario, policy)});
            }
        }
    }
    return runs;
}

auto refusalsOf(const ClassResult &result) -> std::uint64_t
{
    auto sum = std::uint64_t{0};
    for (const auto &[reason, count] : result.endings)
        sum += count;
    return sum;
}

auto goodputShare(const Run &run) -> double
{
    return run.results.surgeGoodput() / run.scenario.deployment.capacity(run.scenario.slowdown);
}

auto printSummary(const std::vector<Run> &runs) -> void
{
    std::printf("%-12s %4s %-20s %9s %9s %8s %8s %9s %9s %5s\n", "deployment", "load", "policy",
                "goodput%", "top%", "top-lost", "wasted%", "recov.s", "dispatch", "max");
    for (const auto &it : runs) {
        const auto &top = it.results.classes().front();
        const auto recovery = it.results.recovery();
        std::printf("%-12s %3.0fx %-20s %9.1f %9.2f %8lu %8.2f %9s %9.2f %2u/%2u\n",
                    it.scenario.deployment.name.c_str(), it.scenario.overload,
                    std::string(nameOf(it.policy)).c_str(), 100 * goodputShare(it),
                    100 * top.goodput(), refusalsOf(top), 100 * it.results.wastedShare(),
                    recovery < Duration(0)
                            ? "never"
                            : std::to_string(static_cast<double>(recovery.count()) / 1e6).c_str(),
                    it.results.meanDispatches(), it.results.maxDispatches(),
                    it.scenario.dispatchBound());
    }
}

auto printClasses(const Run &run) -> void
{
    std::printf("\n%s %.0fx %s\n", run.scenario.deployment.name.c_str(), run.scenario.overload,
                std::string(nameOf(run.policy)).c_str());
    auto rank = 0;
    for (const auto &it : run.results.classes()) {
        std::printf("  class %d: offered %7lu  answered %6.2f %%  tries %7lu ", rank++, it.offered,
                    100 * it.goodput(), it.tries);
        for (const auto &[reason, count] : it.endings)
            std::printf(" %s=%lu", std::string(nameOf(reason)).c_str(), count);
        std::printf("\n");
    }
}

auto toJson(const Run &run) -> nlohmann::json
{
    auto classes = nlohmann::json::array();
    for (const auto &it : run.results.classes()) {
        auto endings = nlohmann::json::object();
        for (const auto &[reason, count] : it.endings)
            endings[std::string(nameOf(reason))] = count;
        classes.push_back({{"offered", it.offered},
                           {"answered", it.answered},
                           {"tries", it.tries},
                           {"notAnswered", endings}});
    }
    return {{"deployment", run.scenario.deployment.name},
            {"overload", run.scenario.overload},
            {"policy", nameOf(run.policy)},
            {"seed", run.scenario.seed},
            {"goodputPerSecond", run.results.surgeGoodput()},
            {"goodputShareOfCapacity", goodputShare(run)},
            {"wastedShare", run.results.wastedShare()},
            {"recoverySeconds", static_cast<double>(run.results.recovery().count()) / 1e6},
            {"meanDispatches", run.results.meanDispatches()},
            {"maxDispatches", run.results.maxDispatches()},
            {"dispatchBound", run.scenario.dispatchBound()},
            {"classes", classes}};
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Compares the overload policy with its baselines, in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto runs = runAll();
    if (FLAGS_json) {
        auto list = nlohmann::json::array();
        for (const auto &it : runs)
            list.push_back(toJson(it));
        std::cout << list.dump(2) << "\n";
        return 0;
    }
    printSummary(runs);
    for (const auto &it : runs)
        printClasses(it);
    return 0;
}
