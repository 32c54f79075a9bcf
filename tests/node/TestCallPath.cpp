#include <criterion/criterion.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "CallPathHarness.h"

using namespace stairspur;
using namespace stairspur::node;
namespace asio = transport::asio;

static auto outcomeOf(const transport::HttpResponse &response) -> std::string
{
    return std::string(response.headers.find("Stairspur-Outcome"));
}

Test(CallPath, callerReceivesCompleteResponse)
{
    auto path = CallPathHarness();
    path.addHost("menu", [](auto request, auto) -> transport::Task<transport::HttpResponse> {
        co_return backendAnswer(200, std::string(100'000, 'm') + request.body);
    });
    const auto index = path.start(path.request("menu", "soup"));
    cr_assert(path.finish());
    cr_assert_eq(path.responses[index].status, 200);
    cr_assert_eq(outcomeOf(path.responses[index]), "answered");
    cr_assert_eq(path.responses[index].body.size(), 100'004);
    cr_assert(path.responses[index].body.ends_with("msoup"));
}

/// Delays every answer until the test releases it, so that answers can arrive in another order than their calls.
struct DelayedAnswers
{
    struct DelayedAnswer
    {
        explicit DelayedAnswer(asio::io_context &io)
            : timer(io, transport::Timer::time_point::max())
        {}
        transport::Timer timer;
        std::string body;
        bool wasCancelled = false;
    };

    auto handler(asio::io_context &io) -> CallPathHarness::Backend
    {
        return [this, &io](auto request,
                           auto cancellation) -> transport::Task<transport::HttpResponse> {
            auto delayed = std::make_shared<DelayedAnswer>(io);
            delayed->body = request.body;
            calls.push_back(delayed);
            cancellation->onCancel([delayed] {
                delayed->wasCancelled = true;
                delayed->timer.cancel();
            });
            auto ec = boost::system::error_code();
            co_await delayed->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            cancellation->onCancel(nullptr);
            co_return backendAnswer(200, "answer to " + delayed->body);
        };
    }

    std::vector<std::shared_ptr<DelayedAnswer>> calls;
};

Test(CallPath, reorderedAnswersReachTheirOwnCallers)
{
    auto path = CallPathHarness();
    auto delayed = DelayedAnswers();
    path.addHost("menu", delayed.handler(path.io));
    for (const auto *it : {"a", "b", "c", "d"})
        path.start(path.request("menu", it));
    cr_assert(path.runUntil([&] { return delayed.calls.size() == 4; }));
    for (const auto index : {2, 0, 3, 1})
        delayed.calls[index]->timer.cancel();
    cr_assert(path.finish());
    for (std::size_t index = 0; index < 4; ++index)
        cr_expect_eq(path.responses[index].body, std::string("answer to ") + "abcd"[index]);
}

Test(CallPath, callsWithoutAnswerHaveTheirOutcome)
{
    struct
    {
        const char *name;
        const char *service;
        std::uint32_t status;
        const char *backendOutcome;
        const char *expected;
        std::size_t runs;
    } cases[] = {
            {"idempotent call is retried", "menu", 500, "", "failed", 2},
            {"call that runs at most once is not retried", "orders", 500, "", "failed", 1},
            {"shed call is retried at another host", "menu", 503, "not-run", "not-run", 2},
            {"shed call that runs at most once is retried too", "orders", 503, "not-run", "not-run",
             2},
    };
    for (const auto &it : cases) {
        auto path = CallPathHarness();
        auto runs = std::size_t{0};
        for (auto index = 0; index < 2; ++index) {
            path.addHost(it.service, [&](auto, auto) -> transport::Task<transport::HttpResponse> {
                ++runs;
                auto response = backendAnswer(it.status, "");
                if (*it.backendOutcome)
                    response.headers.set("Stairspur-Outcome", it.backendOutcome);
                co_return response;
            });
        }
        if (std::string_view(it.service) == "orders")
            path.startBound(it.service, "x");
        else
            path.start(path.request(it.service, "x"));
        cr_assert(path.finish());
        cr_expect_eq(outcomeOf(path.responses[0]), it.expected, "%s: %s", it.name,
                     outcomeOf(path.responses[0]).c_str());
        const auto reason = path.responses[0].headers.find("Stairspur-Reason");
        const auto hasOwnAnswer = std::string_view(it.expected) == "failed";
        cr_expect(hasOwnAnswer || reason == "backend-shed", "%s: %s", it.name,
                  std::string(reason).c_str());
        cr_expect_eq(runs, it.runs, "%s: %zu runs", it.name, runs);
    }
}

Test(CallPath, nothingIsSentWithoutConfigurationOrUpstream)
{
    auto path = CallPathHarness();
    path.start(path.request("menu", "x"));
    cr_assert(path.finish());
    cr_expect_eq(outcomeOf(path.responses[0]), "not-run");
    cr_expect_eq(path.responses[0].headers.find("Stairspur-Reason"), "no-upstream");
    cr_expect(!path.responses[0].headers.find("Retry-After").empty());

    path.board.configuration.publish(nullptr);
    path.start(path.request("menu", "x"));
    cr_assert(path.finish());
    cr_expect_eq(path.responses[1].headers.find("Stairspur-Reason"), "no-configuration");
}

Test(CallPath, cancelledCallFreesItsSlot)
{
    auto path = CallPathHarness();
    auto delayed = DelayedAnswers();
    auto &host = path.addHost("menu", delayed.handler(path.io));
    auto cancellation = std::make_shared<transport::Cancellation>();
    path.start(path.request("menu", "x"), cancellation);
    cr_assert(path.runUntil([&] { return delayed.calls.size() == 1; }));
    cr_assert_eq(host.gate->report().inFlight, 1);
    cancellation->cancel();
    cr_assert(path.finish());
    cr_assert(path.runUntil(
            [&] { return delayed.calls[0]->wasCancelled && host.gate->report().inFlight == 0; }));
}

Test(CallPath, drainingGateFinishesRunningCallsAndRefusesNewOnes)
{
    auto path = CallPathHarness();
    auto delayed = DelayedAnswers();
    auto &leaving = path.addHost("menu", delayed.handler(path.io));
    path.start(path.request("menu", "early"));
    cr_assert(path.runUntil([&] { return delayed.calls.size() == 1; }));
    auto hasDrained = false;
    leaving.gate->drain([&] { hasDrained = true; });

    // The entry has not received the new state yet, so the gate refuses the call and the entry sends it to the other host.
    path.addHost("menu", [](auto, auto) -> transport::Task<transport::HttpResponse> {
        co_return backendAnswer(200, "other");
    });
    const auto late = path.start(path.request("menu", "late"));
    cr_assert(path.runUntil([&] { return path.waiting == 1; }));
    cr_assert_eq(path.responses[late].body, "other");
    cr_assert(!hasDrained);
    delayed.calls[0]->timer.cancel();
    cr_assert(path.finish());
    cr_assert_eq(path.responses[0].body, "answer to early");
    cr_assert(path.runUntil([&] { return hasDrained; }));
}

namespace {

/// Publishes a configuration in which `orders` calls `menu`, on a host of `orders`.
auto publishOrdersCallsMenu(CallPathHarness &path) -> void
{
    auto changed = config::VersionedConfiguration();
    changed.version = 2;
    changed.configuration = (*path.board.configuration.read())->whole();
    changed.configuration.paths = {{.name = "order", .services = {"orders", "menu"}}};
    auto shared = std::make_shared<const config::VersionedConfiguration>(std::move(changed));
    path.board.configuration.publish(
            std::make_shared<const config::ConfigurationIndex>(std::move(shared)));
    path.board.backend.publish({"orders", 1, 8, membership::ServingState::Serving});
}

/// Returns a handler that admits every call of the first class and reports a floor above all other classes.
auto gateWithFloor() -> transport::PeerServer::CallHandler
{
    auto sequence = std::make_shared<std::uint64_t>(0);
    return [sequence](auto, auto, auto) -> transport::Task<transport::CallAnswer> {
        auto answer = transport::CallAnswer{
                .outcome = Outcome::Answered, .wasDispatched = true, .status = 200};
        answer.report = admission::LoadReport{.sequence = ++*sequence, .limit = 8};
        answer.report->floors = {makeLevel(0, 0), makeLevel(0, 0)};
        co_return answer;
    };
}

} // namespace

Test(CallPath, unchangedFloorsArePublishedAgainBeforeTheyExpire)
{
    static constexpr auto ExpectedPublications = std::uint64_t{2};
    static constexpr auto MaxCalls = 400'000;
    auto path = CallPathHarness();
    publishOrdersCallsMenu(path);
    auto &host = path.addHost("menu", {});
    host.peerServer.setCallHandler(gateWithFloor());
    const auto before = path.board.deeperFloors.generation();
    const auto published = [&] { return path.board.deeperFloors.generation() - before; };
    for (auto n = 0; n < MaxCalls && published() < ExpectedPublications; ++n) {
        path.start(path.request("menu", "x"));
        cr_assert(path.finish());
    }
    cr_assert_geq(published(), ExpectedPublications);
    const auto floors = *path.board.deeperFloors.read();
    cr_assert_eq(floors.byRank.size(), 2);
    cr_assert_eq(floors.byRank[1].value, makeLevel(0, 0).value);
}

Test(CallPath, retryLimitsFollowTheCurrentConfiguration)
{
    auto path = CallPathHarness();
    auto runs = 0;
    for (auto n = 0; n < 2; ++n) {
        path.addHost("menu", [&](auto, auto) -> transport::Task<transport::HttpResponse> {
            ++runs;
            co_return backendAnswer(500, "");
        });
    }
    path.start(path.request("menu", "x"));
    cr_assert(path.finish());
    cr_assert_eq(runs, 2, "a failed call is retried at the other host");
    const auto before = *path.board.configuration.read();
    auto next = config::VersionedConfiguration(*before->configuration());
    next.version += 1;
    next.configuration.retry.bucketSize = 0;
    auto shared = std::make_shared<const config::VersionedConfiguration>(std::move(next));
    path.board.configuration.publish(
            std::make_shared<const config::ConfigurationIndex>(std::move(shared)));
    path.entry.didChangeConfiguration();
    path.start(path.request("menu", "y"));
    cr_assert(path.finish());
    cr_assert_eq(runs, 3, "a failed call is not retried without tokens");
}
