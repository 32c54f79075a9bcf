#include <memory>

#include <stairspur/node/CallRejected.h>

#include "../../source/node/RoutedIntake.h"

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::node;
using namespace std::chrono_literals;

static constexpr auto Now = TimePoint{1h};

static auto makeIndex() -> config::ConfigurationIndex
{
    auto versioned = std::make_shared<config::VersionedConfiguration>();
    auto &configuration = versioned->configuration;
    configuration.classes = {{"orders", 0}, {"views", 1}};
    configuration.services = {{.name = "menu"}, {.name = "beta"}, {.name = "maps"}};
    configuration.ingress = config::IngressLimits{.maxBodyBytes = 4};
    configuration.routes = {
            {.name = "views",
             .host = "a",
             .pathPrefix = "/v/",
             .targets = {{"menu", 90}, {"beta", 10}},
             .className = "views",
             .timeout = 5s,
             .maxAttempts = 2},
            {.name = "maps",
             .host = "a",
             .pathPrefix = "/m/",
             .targets = {{"maps", 1}},
             .className = "views",
             .isIdempotent = false,
             .timeout = 800ms,
             .maxAttempts = 1},
            {.name = "lost",
             .host = "a",
             .pathPrefix = "/l/",
             .targets = {{"maps", 1}},
             .className = "gone"},
            {.name = "private",
             .host = "a",
             .pathPrefix = "/p/",
             .targets = {{"menu", 1}},
             .className = "views",
             .callerClass = 1,
             .isPublic = false},
    };
    configuration.callers = {{.name = "kitchen",
                              .keySha256 = "k1",
                              .classes = {"orders", "views"},
                              .furtherKeySha256 = {"k2"},
                              .quota = config::RequestQuota{5, 2}},
                             {.name = "diner", .keySha256 = "k3", .classes = {"orders"}}};
    return config::ConfigurationIndex(std::move(versioned));
}

static auto makeRequest(const std::string &path) -> RoutedRequest
{
    auto request = RoutedRequest();
    request.attemptId = "root";
    request.rootAttemptId = "root";
    request.host = "a";
    request.path = path;
    request.remaining = 2s;
    return request;
}

struct Intake
{
    config::ConfigurationIndex index = makeIndex();
    RunningCalls running;
    Random random{7};

    auto route(RoutedRequest request) -> IncomingCall
    {
        return routeCall(std::move(request), index, running, "own", Now, random);
    }
};

Test(RoutedIntake, routeDeterminesServiceClassAndAttempts)
{
    auto intake = Intake();
    const auto call = intake.route(makeRequest("/m/1"));
    cr_assert_eq(call.request.service, "maps");
    cr_assert_eq(call.request.className, "views");
    cr_assert_eq(call.request.level.rank(), 1);
    cr_assert_eq(call.request.originService, "own");
    cr_assert_eq(call.request.retryBudget, 0, "one attempt and no further ones");
    cr_assert(call.request.mustRunOnce);
    cr_assert(!call.parent);
}

Test(RoutedIntake, deadlineIsTheEarlierOfCallerAndRoute)
{
    auto intake = Intake();
    cr_assert(intake.route(makeRequest("/v/1")).deadline == Now + 2s);
    cr_assert(intake.route(makeRequest("/m/1")).deadline == Now + 800ms);
    auto withoutTimeout = makeRequest("/v/1");
    withoutTimeout.remaining.reset();
    cr_assert(intake.route(withoutTimeout).deadline == Now + 5s);
}

Test(RoutedIntake, requestsAreDistributedByWeight)
{
    auto intake = Intake();
    auto toBeta = 0;
    for (auto n = 0; n < 2000; ++n)
        toBeta += intake.route(makeRequest("/v/1")).request.service == "beta" ? 1 : 0;
    cr_assert(toBeta > 140 && toBeta < 260, "%d of 2000, 200 expected", toBeta);
}

Test(RoutedIntake, deeperCallInheritsFromItsParent)
{
    auto intake = Intake();
    const auto parent = RunningCall{"orders", makeLevel(0, 9), {1, 2}, Now + 300ms, {}};
    intake.running.open(callIdOf("root"), parent, 0, false);
    auto deeper = makeRequest("/m/1");
    deeper.attemptId = "root.child";
    deeper.parentAttemptId = "root";
    const auto call = intake.route(deeper);
    cr_assert(call.parent == callIdOf("root"));
    cr_assert_eq(call.request.level, parent.level, "all calls of a root have the same level");
    cr_assert(call.request.root == parent.root);
    cr_assert_eq(call.request.className, "orders");
    cr_assert(call.deadline == Now + 300ms);
}

Test(RoutedIntake, deeperCallOfUnknownParentHasTheClassOfItsRoute)
{
    auto intake = Intake();
    auto deeper = makeRequest("/m/1");
    deeper.attemptId = "root.child";
    deeper.parentAttemptId = "root";
    const auto call = intake.route(deeper);
    cr_assert(!call.parent);
    cr_assert_eq(call.request.className, "views");
}

Test(RoutedIntake, removedClassBecomesTheLeastImportantOne)
{
    auto intake = Intake();
    cr_assert_eq(intake.route(makeRequest("/l/1")).request.className, "views");
}

Test(RoutedIntake, rootHasTheSameLevelOnEveryHost)
{
    auto one = Intake();
    auto other = Intake();
    other.random.seed(99);
    cr_assert(one.route(makeRequest("/v/1")).request.level
              == other.route(makeRequest("/v/1")).request.level);
}

Test(RoutedIntake, requestsWithoutRouteOrTooLargeAreRejected)
{
    auto intake = Intake();
    auto otherHost = makeRequest("/v/1");
    otherHost.host = "b";
    auto large = makeRequest("/v/1");
    large.body = "12345";
    struct
    {
        RoutedRequest request;
        Reason reason;
    } const cases[] = {
            {makeRequest("/x/"), Reason::UnknownService},
            {otherHost, Reason::UnknownService},
            {large, Reason::TooLarge},
    };
    for (const auto &it : cases) {
        auto reason = Reason::None;
        try {
            intake.route(it.request);
        } catch (const CallRejected &error) {
            reason = error.reason();
        }
        cr_expect(reason == it.reason, "%s", it.request.path.c_str());
    }
}

Test(RoutedIntake, privateRouteRequiresACaller)
{
    auto intake = Intake();
    for (const auto *key : {"k1", "k2"}) {
        auto request = makeRequest("/p/1");
        request.keySha256 = key;
        const auto call = intake.route(request);
        cr_expect_eq(call.request.caller, "kitchen");
        cr_expect_eq(call.request.className, "views",
                     "the caller's second class, as set by the route");
        cr_expect(call.needsConfigurationProof);
        cr_expect(call.quota == (config::RequestQuota{5, 2}));
    }
    auto request = makeRequest("/p/1");
    request.keySha256 = "k3";
    const auto call = intake.route(request);
    cr_assert_eq(call.request.className, "orders", "the last class of a caller with fewer classes");
    cr_assert(!call.quota);
}

Test(RoutedIntake, publicRouteIgnoresKeys)
{
    auto intake = Intake();
    auto request = makeRequest("/v/1");
    request.keySha256 = "k1";
    const auto call = intake.route(request);
    cr_assert_eq(call.request.caller, "");
    cr_assert(!call.needsConfigurationProof);
    cr_assert(!call.quota);
}

static auto reasonFor(Intake &intake, const RoutedRequest &request) -> Reason
{
    try {
        intake.route(request);
    } catch (const CallRejected &error) {
        return error.reason();
    }
    return Reason::None;
}

Test(RoutedIntake, privateRouteRefusesUnknownKeys)
{
    auto intake = Intake();
    for (const auto *key : {"", "k4", "K1"}) {
        auto request = makeRequest("/p/1");
        request.keySha256 = key;
        cr_expect(reasonFor(intake, request) == Reason::Unauthorized, "key '%s'", key);
    }
    auto deeper = makeRequest("/p/1");
    deeper.attemptId = "root.child";
    deeper.parentAttemptId = "root";
    cr_assert(reasonFor(intake, deeper) == Reason::ParentUnknown,
              "a parent id does not replace the key");
}

Test(RoutedIntake, deeperCallHasTheCallerOfItsParent)
{
    auto intake = Intake();
    auto parent = RunningCall{"orders", makeLevel(0, 9), {1, 2}, Now + 300ms, "kitchen"};
    intake.running.open(callIdOf("root"), parent, 0, false);
    auto deeper = makeRequest("/p/1");
    deeper.attemptId = "root.child";
    deeper.parentAttemptId = "root";
    const auto call = intake.route(deeper);
    cr_assert_eq(call.request.caller, "kitchen");
    cr_assert(!call.needsConfigurationProof, "deeper calls continue when the key is revoked");
    cr_assert(!call.quota);
}
