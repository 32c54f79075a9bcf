#include <platform/CallHeaders.h>

#include "../../source/node/RoutedIntake.h"
#include "../node/CallPathHarness.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// What calls tell of how many of their kind their root request makes, as gates get it.
using namespace stairspur;
using namespace stairspur::node;
using transport::CallAnswer;
using transport::CallRequest;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Task;

namespace {

/// A host whose backend server makes calls to the service `status`, and the gate that gets them.
struct CountingPath
{
    CallProtocol protocol = platform::platformCalls();
    CallPathHarness path{&protocol};
    std::vector<CallRequest> arrived;

    CountingPath()
    {
        auto versioned = std::make_shared<config::VersionedConfiguration>();
        versioned->version = 1;
        auto &configuration = versioned->configuration;
        configuration.classes = {{"orders", 0}};
        configuration.services = {{.name = "status"}};
        configuration.routes = {{.name = "feed",
                                 .host = "a",
                                 .pathPrefix = "/f/",
                                 .targets = {{"status", 1}},
                                 .className = "orders",
                                 .maxAttempts = 1}};
        path.board.configuration.publish(
                std::make_shared<const config::ConfigurationIndex>(std::move(versioned)));
        auto &host = path.addHost(
                "status", [](auto, auto) -> Task<HttpResponse> { co_return HttpResponse(); });
        host.peerServer.setCallHandler(
                [this](const NodeId &, CallRequest request, auto) -> Task<CallAnswer> {
                    arrived.push_back(std::move(request));
                    co_return CallAnswer{.outcome = Outcome::Answered, .status = 200};
                });
    }

    /// The backend server runs `attempt`, one of `callsPerRoot` calls of its kind of which `callsLeft` are left.
    auto begin(const std::string &attempt, std::uint32_t callsPerRoot, std::uint32_t callsLeft)
            -> void
    {
        auto running = RunningCall();
        running.className = "orders";
        running.level = makeLevel(0, 5);
        running.deadline = monotonicNow() + Duration{20'000'000};
        running.path = 77;
        running.callsPerRoot = callsPerRoot;
        running.callsLeft = callsLeft;
        path.running.open(callIdOf(attempt), running, 0, false);
    }

    auto call(const std::string &attempt) -> const CallRequest &
    {
        auto request = HttpRequest();
        request.method = "GET";
        request.target = "/f/1";
        request.headers.add("Host", "a");
        request.headers.add("X-Attempt-Id", attempt);
        path.start(std::move(request));
        cr_assert(path.finish());
        return arrived.back();
    }
};

} // namespace

Test(CallCounts, aCallTellsHowManyOfItsKindAreMadeAndLeft)
{
    auto it = CountingPath();
    it.begin("root.1", 1, 1);
    for (const auto *id : {"root.1.1", "root.1.2", "root.1.3", "root.1.4"})
        it.call(id);
    // The second of two calls that the root makes, by what the first has shown.
    it.begin("other.1", 2, 2);
    it.begin("other.2", 2, 1);
    const auto first = it.call("other.1.1");
    cr_assert_eq(first.callsPerRoot, 8);
    cr_assert_eq(first.callsLeft, 8);
    cr_assert(first.isDeeperCall);
    cr_assert_eq(it.call("other.1.2").callsLeft, 7);
    const auto fifth = it.call("other.2.1");
    cr_assert_eq(fifth.callsPerRoot, 8);
    cr_assert_eq(fifth.callsLeft, 4);
    it.call("other.2.2");
    it.call("other.2.3");
    cr_assert_eq(it.call("other.2.4").callsLeft, 1);
}

Test(CallCounts, aRootRequestIsTheOnlyOneOfItsKind)
{
    auto it = CountingPath();
    const auto &root = it.call("alone");
    cr_assert_eq(root.callsPerRoot, 1);
    cr_assert_eq(root.callsLeft, 1);
    cr_assert(!root.isDeeperCall);
}
