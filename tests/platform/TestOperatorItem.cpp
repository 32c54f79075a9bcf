#include <string>

#include <nlohmann/json.hpp>

#include <platform/OperatorItem.h>
#include <stairspur/config/ConfigurationIndex.h>
#include <stairspur/core/Error.h>

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::platform;
using namespace std::chrono_literals;

static constexpr auto Item = std::string_view(R"({"version": 7, "routes": {
"views": {"host": "a.example", "prefix": "/v/", "kind": "safe", "timeout_s": 5, "target_latency_s": 1.2, "priority": 2,
  "traffic_split": [{"service": "menu", "weight": 90}, {"service": "beta", "weight": 10}], "max_attempts": 2},
"deep": {"host": "a.example", "prefix": "/v/x/", "kind": "download", "timeout_s": 1, "target_latency_s": 0.3,
  "priority": 5, "service": "maps", "max_attempts": 3},
"orders": {"host": "b.example", "prefix": "/o/", "kind": "unsafe", "timeout_s": 0.8, "target_latency_s": 1.5,
  "priority": 0, "service": "orders", "max_attempts": 2}},
"services": {"menu": {"health_path": "/health", "max_connections": 634}, "maps": {}},
"limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
"base_revision": 5})");

static auto indexOf(const std::string &item) -> config::ConfigurationIndex
{
    auto whole = readOperatorItem(item, {0.2, 49});
    auto versioned = std::make_shared<config::VersionedConfiguration>();
    versioned->version = whole.version;
    versioned->configuration = std::move(whole.configuration);
    return config::ConfigurationIndex(std::move(versioned));
}

Test(OperatorItem, routesServicesAndLimitsAreRead)
{
    const auto index = indexOf(std::string(Item));
    const auto *views = index.findRoute("a.example", "/v/1");
    cr_assert(views);
    cr_assert_eq(views->targets.size(), 2);
    cr_assert_eq(views->targets[0].weight, 90);
    cr_assert(views->timeout == 5s);
    cr_assert(views->latencyObjective == 1200ms);
    cr_assert(views->isIdempotent);
    const auto *orders = index.findRoute("b.example", "/o/");
    cr_assert(orders && !orders->isIdempotent);
    cr_assert_eq(orders->maxAttempts, 2);
    cr_assert_eq(index.findService("menu")->limits.maxConcurrency, 634);
    cr_assert_eq(index.findService("maps")->limits.maxConcurrency, 0);
    cr_assert(index.whole().ingress->idleTimeout == 15s);
    cr_assert_eq(index.whole().ingress->maxBodyBytes, 64U << 20U);
}

Test(OperatorItem, theLongestPrefixOfTheHostDecides)
{
    const auto index = indexOf(std::string(Item));
    cr_assert_eq(index.findRoute("a.example", "/v/x/9")->name, "deep");
    cr_assert_eq(index.findRoute("a.example", "/v/xy")->name, "views");
    cr_assert_null(index.findRoute("a.example", "/v"));
    cr_assert_null(index.findRoute("c.example", "/v/1"));
    cr_assert_null(index.findRoute("b.example", "/v/1"));
}

Test(OperatorItem, eachPriorityIsAClassTheGreatestFirst)
{
    const auto index = indexOf(std::string(Item));
    cr_assert_eq(index.findClass(index.findRoute("b.example", "/o/1")->className)->rank, 0);
    cr_assert_eq(index.findClass(index.findRoute("a.example", "/v/1")->className)->rank, 1);
    cr_assert_eq(index.findClass(index.findRoute("a.example", "/v/x/")->className)->rank, 2);
}

Test(OperatorItem, retriesStayBelowWhatThePlatformAllows)
{
    const auto retry =
            readOperatorItem(std::string(Item), {0.2, 49, Duration{10}}).configuration.retry;
    cr_assert_lt(retry.requestShare, 0.2);
    cr_assert_gt(retry.requestShare, 0.1);
    cr_assert_lt(retry.fleetBucketSize, 49);
    cr_assert_eq(retry.successShare, 0);
    cr_assert_eq(retry.window, Duration{10});
}

Test(OperatorItem, whatCannotBeReadIsRefusedWithARemedy)
{
    const auto whole = nlohmann::json::parse(Item);
    auto cases = std::vector<std::string>{"", "{", "[]", "7", "{}"};
    for (const auto *field : {"version", "routes", "services", "limits"}) {
        auto item = whole;
        item.erase(field);
        cases.push_back(item.dump());
    }
    for (const auto *field : {"host", "prefix", "kind", "timeout_s", "priority", "max_attempts"}) {
        auto item = whole;
        item["routes"]["orders"].erase(field);
        cases.push_back(item.dump());
    }
    auto wrongType = whole;
    wrongType["limits"]["idle_timeout_s"] = "long";
    cases.push_back(wrongType.dump());
    for (const auto &it : cases)
        cr_expect_throw(readOperatorItem(it, {0.2, 49}), InputError, "%.60s", it.c_str());
}
