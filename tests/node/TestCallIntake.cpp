#include <criterion/criterion.h>

#include <functional>

#include <stairspur/core/Hash.h>

#include "../../source/node/CallIntake.h"

using namespace stairspur;
using namespace stairspur::node;

static constexpr auto Now = TimePoint(std::chrono::seconds(1000));

static auto sampleConfiguration() -> config::ConfigurationIndex
{
    auto versioned = config::VersionedConfiguration();
    auto &configuration = versioned.configuration;
    configuration.classes = {{"settlement", 0}, {"orders", 1}, {"browse", 2}};
    configuration.services = {{.name = "menu-catalogue"},
                              {.name = "order-intake", .isIdempotent = false}};
    configuration.services[0].limits.maxRequestBytes = 10;
    configuration.callers = {{.name = "kitchen",
                              .keySha256 = sha256Hex("kitchen-key"),
                              .classes = {"orders", "browse"}}};
    return config::ConfigurationIndex(
            std::make_shared<const config::VersionedConfiguration>(std::move(versioned)));
}

static auto sampleRequest() -> transport::HttpRequest
{
    auto request = transport::HttpRequest{.method = "POST", .target = "/x"};
    request.remoteAddress = "127.0.0.1";
    request.headers.set("Authorization", "Bearer kitchen-key");
    request.headers.set("Stairspur-Service", "menu-catalogue");
    return request;
}

static auto read(const transport::HttpRequest &request, const RunningCalls &running) -> IncomingCall
{
    auto random = Random(1);
    return readCall(request, sampleConfiguration(), running, "192.0.2.7", Now, random);
}

struct RejectionCase
{
    const char *name;
    std::function<void(transport::HttpRequest &)> change;
    Reason reason;
};

Test(CallIntake, invalidCallsAreRejectedWithTheirReasons)
{
    const auto set = [](const char *name, const char *value) {
        return [=](transport::HttpRequest &it) { it.headers.set(name, value); };
    };
    const RejectionCase cases[] = {
            {"no key", [](auto &it) { it.headers.remove("Authorization"); }, Reason::Unauthorized},
            {"wrong scheme", set("Authorization", "Basic kitchen-key"), Reason::Unauthorized},
            {"wrong key", set("Authorization", "Bearer other"), Reason::Unauthorized},
            {"class not granted", set("Stairspur-Class", "settlement"), Reason::ClassNotAllowed},
            {"unknown class", set("Stairspur-Class", "gold"), Reason::UnknownClass},
            {"no service", [](auto &it) { it.headers.remove("Stairspur-Service"); },
             Reason::BadRequest},
            {"unknown service", set("Stairspur-Service", "weather"), Reason::UnknownService},
            {"timeout not a number", set("Stairspur-Timeout", "soon"), Reason::BadRequest},
            {"timeout negative", set("Stairspur-Timeout", "-5"), Reason::BadRequest},
            {"parent not a number", set("Stairspur-Call", "xyz"), Reason::BadRequest},
            {"parent unknown", set("Stairspur-Call", "00000000000000ff"), Reason::ParentUnknown},
            {"key missing", set("Stairspur-Service", "order-intake"), Reason::BadRequest},
            {"body too large", [](auto &it) { it.body = std::string(11, 'x'); }, Reason::TooLarge},
    };
    const auto running = RunningCalls();
    for (const auto &it : cases) {
        auto request = sampleRequest();
        it.change(request);
        auto reason = Reason::None;
        try {
            read(request, running);
        } catch (const CallRejected &error) {
            reason = error.reason();
        }
        cr_expect(reason == it.reason, "%s: got %s", it.name, std::string(nameOf(reason)).c_str());
    }
}

Test(CallIntake, outsideCallerGetsItsFirstClassAndTrace)
{
    auto request = sampleRequest();
    request.headers.set("traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01");
    request.headers.set("Stairspur-Timeout", "1500");
    const auto call = read(request, RunningCalls());
    cr_assert_eq(call.request.className, "orders");
    cr_assert_eq(call.request.level.rank(), 1);
    cr_assert_eq(call.request.root.toString(), "4bf92f3577b34da6a3ce929d0e0e4736");
    cr_assert(call.deadline == Now + std::chrono::milliseconds(1500));
    cr_assert_eq(call.request.headers.find("Authorization"), "",
                 "the key must not reach the backend server");
}

Test(CallIntake, deeperCallInheritsClassAndCanOnlyLowerIt)
{
    auto running = RunningCalls();
    const auto root = parseRootId("4bf92f3577b34da6a3ce929d0e0e4736");
    running.open(0xff,
                 {"orders", makeLevel(1, root.hash()), root, Now + std::chrono::milliseconds(100),
                  "kitchen"},
                 3, false);
    struct
    {
        const char *wanted;
        const char *expected;
    } cases[] = {
            {"", "orders"}, {"settlement", "orders"}, {"orders", "orders"}, {"browse", "browse"}};
    for (const auto &it : cases) {
        auto request = sampleRequest();
        request.headers.remove("Authorization");
        request.headers.set("Stairspur-Call", "00000000000000ff");
        request.headers.set("Stairspur-Timeout", "60000");
        if (*it.wanted)
            request.headers.set("Stairspur-Class", it.wanted);
        const auto call = read(request, running);
        cr_expect_eq(call.request.className, it.expected, "requested '%s'", it.wanted);
        cr_expect(call.request.root == root);
        cr_expect(call.deadline == Now + std::chrono::milliseconds(100),
                  "a deeper call never gets more time");
    }
}

Test(CallIntake, deeperCallsAreAcceptedFromTheOwnHostOnly)
{
    auto running = RunningCalls();
    running.open(0xff, {"orders", makeLevel(1, 0), RootId{1, 2}, Now, "kitchen"}, 3, false);
    struct
    {
        const char *remote;
        bool isTaken;
    } cases[] = {
            {"127.0.0.1", true},  {"127.9.8.7", true}, {"::1", true}, {"192.0.2.7", true},
            {"192.0.2.8", false}, {"10.0.0.1", false}, {"", false},   {"192.0.2.70", false},
    };
    for (const auto &it : cases) {
        auto request = sampleRequest();
        request.remoteAddress = it.remote;
        request.headers.set("Stairspur-Call", "00000000000000ff");
        auto reason = Reason::None;
        try {
            read(request, running);
        } catch (const CallRejected &error) {
            reason = error.reason();
        }
        cr_expect(reason == (it.isTaken ? Reason::None : Reason::ParentUnknown), "'%s'", it.remote);
    }
}

Test(RunningCalls, endOfParentCancelsRunningChildren)
{
    auto running = RunningCalls();
    auto cancelled = 0;
    running.open(1, {}, 4, false);
    const auto first = running.addChild(1, 10, NoPath, [&] { ++cancelled; });
    const auto second = running.addChild(1, 11, NoPath, [&] { ++cancelled; });
    cr_assert_eq(first.budget + second.budget, 3);
    running.removeChild(1, 11, second.budget, true);
    cr_assert(running.close(1).hadUnansweredDeeperCall, "a child still runs");
    cr_assert_eq(cancelled, 1, "only the child that still runs is cancelled");
    cr_assert(running.addChild(1, 12, NoPath, [] {}).refusal == Reason::ParentUnknown);
}

Test(RunningCalls, onlyUnansweredChildrenAreReported)
{
    struct
    {
        const char *name;
        bool hasChild;
        bool isAnswered;
        bool expected;
    } cases[] = {{"no child", false, false, false},
                 {"answered child", true, true, false},
                 {"refused child", true, false, true}};
    for (const auto &it : cases) {
        auto running = RunningCalls();
        running.open(1, {}, 4, false);
        if (it.hasChild) {
            const auto share = running.addChild(1, 10, NoPath, [] {});
            running.removeChild(1, 10, share.budget, it.isAnswered);
        }
        const auto closed = running.close(1);
        cr_expect_eq(closed.hadUnansweredDeeperCall, it.expected, "%s", it.name);
        cr_expect_eq(closed.unspentBudget, 4, "%s", it.name);
    }
}

Test(RunningCalls, deeperCallsAreNumberedByPath)
{
    auto running = RunningCalls();
    running.open(1, {}, 4, false);
    running.open(2, {}, 4, false);
    cr_assert_eq(running.addChild(1, 10, 33, [] {}).ordinal, 1);
    cr_assert_eq(running.addChild(1, 11, 33, [] {}).ordinal, 2);
    cr_assert_eq(running.addChild(1, 12, 44, [] {}).ordinal, 1);
    cr_assert_eq(running.addChild(2, 13, 33, [] {}).ordinal, 1);
}
