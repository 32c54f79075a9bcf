#include <criterion/criterion.h>

#include <cmath>
#include <thread>

#include <stairspur/core/Outcome.h>
#include <stairspur/metrics/Registry.h>

using namespace stairspur;
using namespace stairspur::metrics;

Test(Registry, rendersCountersAndGaugesInOrder)
{
    auto registry = Registry();
    registry.gauge({"b_links", "Links now."}).set(-3);
    registry.counter({"a_total", "All."}, {{"domain", "x"}}).increment(2);
    registry.counter({"a_total", "All."}, {{"domain", "a"}}).increment();
    registry.counter({"a_total", "All."}, {{"domain", "x"}}).increment();
    const auto text = registry.renderPrometheus();
    cr_assert_str_eq(text.c_str(), "# HELP a_total All.\n# TYPE a_total counter\n"
                                   "a_total{domain=\"a\"} 1\na_total{domain=\"x\"} 3\n"
                                   "# HELP b_links Links now.\n# TYPE b_links gauge\nb_links -3\n");
}

Test(Registry, escapesValuesAndHelp)
{
    struct
    {
        const char *value;
        const char *escaped;
    } cases[] = {
            {"plain", "plain"},    {"a\"b", "a\\\"b"}, {"a\\b", "a\\\\b"},
            {"a\nb 9", "a\\nb 9"}, {"", ""},           {"č", "č"},
    };
    for (const auto &it : cases) {
        auto registry = Registry();
        registry.counter({"n", it.value}, {{"l", it.value}});
        const auto text = registry.renderPrometheus();
        const auto sample = "\nn{l=\"" + std::string(it.escaped) + "\"} 0\n";
        cr_assert(text.find(sample) != std::string::npos, "%s", text.c_str());
    }
    auto registry = Registry();
    registry.counter({"n", "say \"x\"\nand \\"});
    cr_assert(registry.renderPrometheus().starts_with("# HELP n say \"x\"\\nand \\\\\n"));
}

Test(Registry, malformedNamesAndChangedTypesAreRejected)
{
    for (const auto *it : {"", "9a", "a-b", "a b", "a\n", "č"})
        cr_assert_throw(Registry().counter({it, ""}), MetricError, "'%s'", it);
    for (const auto *it : {"", "9a", "a:b", "__a", "le", "a\"b"})
        cr_assert_throw(Registry().counter({"n", ""}, {{it, ""}}), MetricError, "'%s'", it);
    auto registry = Registry();
    registry.counter({"n", ""});
    cr_assert_throw(registry.gauge({"n", ""}), MetricError);
    cr_assert_throw(registry.histogram({"n", ""}, {{"l", "v"}}), MetricError);
}

Test(Registry, enumCountersAreLabelledByValueName)
{
    auto registry = Registry();
    auto outcomes = EnumCounters<Outcome>(registry, {"calls_total", "Calls."}, "outcome");
    outcomes.increment(Outcome::NotRun);
    const auto text = registry.renderPrometheus();
    cr_assert(text.find("calls_total{outcome=\"not-run\"} 1\n") != std::string::npos);
    cr_assert(text.find("calls_total{outcome=\"unknown\"} 0\n") != std::string::npos);
}

Test(Registry, histogramsAreCumulativeAndInSeconds)
{
    auto registry = Registry();
    auto &histogram = registry.histogram({"t_seconds", "Time."}, {{"s", "x"}});
    for (const auto us : {-5, 0, 5, 11, 1'000, 2'000'000'000})
        histogram.record(Duration{us});
    const auto text = registry.renderPrometheus();
    for (const auto *it :
         {"# TYPE t_seconds histogram\n", "t_seconds_bucket{s=\"x\",le=\"1.3e-05\"} 4\n",
          "t_seconds_bucket{s=\"x\",le=\"0.01\"} 5\n", "t_seconds_bucket{s=\"x\",le=\"100\"} 5\n",
          "t_seconds_bucket{s=\"x\",le=\"+Inf\"} 6\n", "t_seconds_sum{s=\"x\"} 2000.001016\n",
          "t_seconds_count{s=\"x\"} 6\n"})
        cr_assert(text.find(it) != std::string::npos, "%s is missing in\n%s", it, text.c_str());
}

/// Ratio of a bucket's upper edge to its lower edge: the tenth root of 10.
static constexpr auto BucketFactor = 1.2590;

Test(LatencyHistogram, quantilesAreWithinABucket)
{
    auto histogram = LatencyHistogram();
    for (auto us = 1; us <= 100'000; ++us)
        histogram.record(Duration{us});
    const auto snapshot = histogram.snapshot();
    cr_assert_eq(snapshot.total(), 100'000);
    for (const auto q : {0.01, 0.1, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const auto estimate = static_cast<double>(snapshot.quantile(q).count());
        const auto ratio = estimate / (q * 100'000);
        cr_assert_geq(ratio, 1 / BucketFactor, "q %f: %f", q, estimate);
        cr_assert_leq(ratio, BucketFactor, "q %f: %f", q, estimate);
        cr_assert(q == 1.0 || std::abs(ratio - 1.0) < 0.13, "q %f: %f", q, estimate);
    }
}

Test(LatencyHistogram, quantilesOfEdgeCases)
{
    struct
    {
        const char *name;
        std::vector<Duration> values;
        double q;
        Duration least;
        Duration most;
    } cases[] = {
            {"empty", {}, 0.5, Duration{0}, Duration{0}},
            {"one", {Duration{1000}}, 0.5, Duration{790}, Duration{1260}},
            {"least", {Duration{1}}, 0.0, Duration{10}, Duration{10}},
            {"beyond the last edge",
             {Duration{500'000'000}},
             0.5,
             Duration{100'000'000},
             Duration{100'000'000}},
            {"q out of range", {Duration{1000}}, 7.0, Duration{790}, Duration{1260}},
    };
    for (const auto &it : cases) {
        auto histogram = LatencyHistogram();
        for (const auto value : it.values)
            histogram.record(value);
        const auto estimate = histogram.snapshot().quantile(it.q);
        cr_assert_geq(estimate, it.least, "%s: %ld", it.name, estimate.count());
        cr_assert_leq(estimate, it.most, "%s: %ld", it.name, estimate.count());
    }
}

Test(Registry, concurrentUpdatesAreAllCounted)
{
    auto registry = Registry();
    auto &counter = registry.counter({"n_total", ""});
    auto &histogram = registry.histogram({"t_seconds", ""});
    auto threads = std::vector<std::jthread>();
    constexpr auto Threads = 4;
    constexpr auto UpdatesPerThread = 20'000;
    for (auto n = 0; n < Threads; ++n) {
        threads.emplace_back([&] {
            for (auto it = 0; it < UpdatesPerThread; ++it) {
                counter.increment();
                histogram.record(Duration{it});
            }
        });
    }
    threads.clear();
    cr_assert_eq(counter.value(), Threads * UpdatesPerThread);
    cr_assert_eq(histogram.snapshot().total(), Threads * UpdatesPerThread);
}
