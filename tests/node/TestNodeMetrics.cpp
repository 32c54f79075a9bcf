#include <criterion/criterion.h>

#include "../../source/node/ControlMetrics.h"
#include "../../source/node/NodeMetrics.h"
#include "CallPathHarness.h"
#include "Exposition.h"
#include "config/ConfigurationTexts.h"

using namespace stairspur;
using namespace stairspur::node;

static auto makeControlState() -> ControlState
{
    auto state = ControlState();
    state.version = 12;
    state.store.emplace();
    state.store->calls[0][2] = 3;
    state.datagrams.bytesSent = 1000;
    state.controlTraffic.controlBytesSent = 100;
    state.entry.traffic.controlBytesSent = 10;
    state.entry.traffic.callBytesSent = 5000;
    state.gate.traffic.controlBytesSent = 1;
    state.gate.keyedTraffic.controlBytesSent = 20000;
    state.gate.keyedStoreCounters.calls[0][2] = 4;
    state.entry.links = 4;
    state.controlLinks = 2;
    state.gate.load.limit = 16;
    state.gate.load.floors = {Level{0}, Level{3968}};
    state.process = {Duration{1'250'000}, 4096};
    state.members.members = {{.node = "a"},
                             {.node = "b", .liveness = membership::Liveness::Suspect},
                             {.node = "c", .liveness = membership::Liveness::Suspect}};
    return state;
}

Test(NodeMetrics, completeExpositionHasNamesTypesAndNoDuplicates)
{
    auto metrics = NodeMetrics();
    metrics.didAnswerAtEntry("orders", Outcome::Answered, Duration{10});
    metrics.didRefuseAtGate("orders", Reason::QueueFull);
    metrics.didRunAtBackend("browse", Outcome::Failed, Duration{20});
    const auto all = Exposition(metrics.render() + renderControlMetrics(makeControlState()));
    for (const auto &[name, type] : all.types) {
        cr_expect(name.starts_with("stairspur_"), "%s", name.c_str());
        cr_expect_eq(type == "counter", name.ends_with("_total"), "%s", name.c_str());
        cr_expect_eq(type == "histogram", name.ends_with("_seconds"), "%s", name.c_str());
    }
}

Test(NodeMetrics, eachMetricIsDescribedInTheOperatorsPage)
{
    const auto page = config::readRepositoryFile("docs/operations/metrics.md");
    auto metrics = NodeMetrics();
    metrics.didAnswerAtEntry("orders", Outcome::Answered, Duration{10});
    metrics.didRefuseAtGate("orders", Reason::QueueFull);
    const auto all = Exposition(metrics.render() + renderControlMetrics(makeControlState()));
    for (const auto &[name, type] : all.types)
        cr_expect_neq(page.find("`" + name + "`"), std::string::npos, "%s", name.c_str());
}

Test(NodeMetrics, controlMetricsSumUpAllThreads)
{
    const auto all = Exposition(renderControlMetrics(makeControlState()));
    struct
    {
        const char *series;
        double expected;
    } cases[] = {
            {R"(stairspur_control_bytes_total{direction="sent"})", 21111},
            {R"(stairspur_control_bytes_total{direction="received"})", 0},
            {R"(stairspur_call_bytes_total{direction="sent"})", 5000},
            {R"(stairspur_store_calls_total{call="range",status="unreachable"})", 7},
            {R"(stairspur_store_calls_total{call="watch",status="ok"})", 0},
            {R"(stairspur_members{liveness="suspect",state="starting"})", 2},
            {R"(stairspur_members{liveness="dead",state="left"})", 0},
            {R"(stairspur_gate_floor{rank="1"})", 3968},
            {"stairspur_gate_limit", 16},
            {"stairspur_links", 6},
            {"stairspur_configuration_version", 12},
            {"stairspur_process_cpu_seconds_total", 1.25},
            {"stairspur_process_resident_bytes", 4096},
    };
    for (const auto &it : cases)
        cr_expect_eq(all.value(it.series), it.expected, "%s", it.series);
}

Test(NodeMetrics, nodeWithoutStoreShowsNoStoreCalls)
{
    auto state = makeControlState();
    state.store.reset();
    cr_assert_eq(renderControlMetrics(state).find("stairspur_store_"), std::string::npos);
}

Test(NodeMetrics, numberOfClassesIsBounded)
{
    auto metrics = NodeMetrics();
    for (auto n = 0; n < 1000; ++n)
        metrics.didAnswerAtEntry("class" + std::to_string(n), Outcome::Answered, Duration{10});
    const auto all = Exposition(metrics.render());
    cr_assert_eq(all.samples.count(
                         R"(stairspur_entry_answers_total{class="class64",outcome="answered"})"),
                 0);
    cr_assert_eq(all.value(R"(stairspur_entry_answers_total{class="other",outcome="answered"})"),
                 1000 - 64);
}

/// Checks the counters of the complete call path, at the entry and at the gates.
Test(NodeMetrics, decisionsAndOutcomesOfACallAreCounted)
{
    auto path = CallPathHarness();
    for (auto n = 0; n < 2; ++n)
        path.addHost("menu", [](auto, auto) -> transport::Task<transport::HttpResponse> {
            co_return backendAnswer(500, "");
        });
    path.start(path.request("menu", "x"));
    path.start(path.request("nowhere", "x"));
    path.start(path.request("lonely", "x")); // No host serves this service.
    cr_assert(path.finish());
    const auto entry = Exposition(path.metrics.render());
    struct
    {
        const char *series;
        double expected;
    } cases[] = {
            {R"(stairspur_attempts_total{outcome="failed"})", 2},
            {R"(stairspur_attempt_failures_total{reason="backend-failed"})", 2},
            {R"(stairspur_retry_decisions_total{decision="retry"})", 2},
            {R"(stairspur_retry_decisions_total{decision="give-up"})", 0},
            {R"(stairspur_entry_answers_total{class="orders",outcome="failed"})", 1},
            {R"(stairspur_entry_answers_total{class="orders",outcome="not-run"})", 1},
            {R"(stairspur_entry_refusals_total{reason="unknown-service"})", 1},
            {R"(stairspur_entry_refusals_total{reason="no-upstream"})", 1},
            {R"(stairspur_routes_total{choice="refused"})",
             2}, // The call has failed at both hosts of "menu" by then.
            {"stairspur_entry_latency_seconds_count", 2},
    };
    for (const auto &it : cases)
        cr_expect_eq(entry.value(it.series), it.expected, "%s: %g", it.series,
                     entry.value(it.series));
    auto runs = 0.0;
    for (const auto &it : path.hosts) {
        const auto gate = Exposition(it->metrics.render());
        runs += gate.value(R"(stairspur_backend_runs_total{class="orders",outcome="failed"})");
        cr_expect_eq(gate.value("stairspur_gate_wait_seconds_count"), 1);
        cr_expect_eq(gate.value("stairspur_gate_added_seconds_count"), 1);
        cr_expect_eq(gate.value("stairspur_backend_latency_seconds_count"), 1);
    }
    cr_assert_eq(runs, 2);
}

Test(ProcessUsage, readsProcFiles)
{
    struct
    {
        const char *name;
        const char *stat;
        const char *statm;
        ProcessUsage expected;
    } cases[] = {
            {"usual",
             "7 (stairspur) S 1 2 3 4 5 6 7 8 9 10 150 50 0",
             "900 25 3",
             {Duration{2'000'000}, 25 * 4096}},
            {"name with spaces",
             "7 (a) b (c) S 1 2 3 4 5 6 7 8 9 10 1 0 0",
             "900 25 3",
             {Duration{10'000}, 25 * 4096}},
            {"nothing", "", "", {}},
            {"truncated", "7 (a) S 1 2", "900", {}},
    };
    for (const auto &it : cases) {
        const auto usage = parseProcessUsage(it.stat, it.statm, 100, 4096);
        cr_expect_eq(usage.cpu.count(), it.expected.cpu.count(), "%s", it.name);
        cr_expect_eq(usage.residentBytes, it.expected.residentBytes, "%s", it.name);
    }
    cr_assert_gt(readProcessUsage().residentBytes, 0);
}
