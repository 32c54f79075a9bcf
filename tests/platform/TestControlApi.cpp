#include <string>
#include <vector>

#include <platform/ControlApi.h>

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::platform;
using membership::ServingState;
using namespace std::chrono_literals;

static constexpr auto Heartbeat = std::string_view(
        R"({"service":"maps","address":"10.1.0.9:8080","zone":"north","version":"v1","slots":168,)"
        R"("state":"ready","cold_remaining_s":0.5,"seq":4})");

/// What a node was told.
struct Told
{
    std::vector<membership::Announcement> announcements;
    std::vector<std::string> left;
    bool isReady = true;

    auto hooks() -> node::ControlHooks
    {
        return {[this](const auto &it) { announcements.push_back(it); },
                [this](const auto &it) { left.push_back(it); }, [this] { return isReady; }};
    }
};

static auto request(const std::string &method, const std::string &target,
                    const std::string &body = {}) -> transport::HttpRequest
{
    return {.method = method, .target = target, .headers = {}, .body = body, .remoteAddress = {}};
}

Test(ControlApi, aHeartbeatIsTakenBeforeItIsAcknowledged)
{
    auto told = Told();
    const auto answer = handleAnnouncement(
            request("PUT", "/v1/instances/i-1", std::string(Heartbeat)), told.hooks());
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(told.announcements.size(), 1);
    const auto &it = told.announcements[0];
    cr_assert_eq(it.instance, "i-1");
    cr_assert_eq(it.service, "maps");
    cr_assert_eq(it.address, "10.1.0.9");
    cr_assert_eq(it.port, 8080);
    cr_assert_eq(it.slots, 168);
    cr_assert_eq(it.sequence, 4);
    cr_assert(it.state == ServingState::Serving);
    cr_assert(it.coldFor == 500ms);
}

Test(ControlApi, leavingIsPassedOn)
{
    auto told = Told();
    cr_assert_eq(handleAnnouncement(request("DELETE", "/v1/instances/i-1"), told.hooks()).status,
                 200);
    cr_assert(told.left == std::vector<std::string>{"i-1"});
}

Test(ControlApi, whatIsNoHeartbeatIsRefused)
{
    const auto replaced = [](const std::string &from, const std::string &to) {
        auto text = std::string(Heartbeat);
        return text.replace(text.find(from), from.size(), to);
    };
    struct
    {
        transport::HttpRequest request;
        std::uint32_t status;
    } const cases[] = {
            {request("PUT", "/v1/instances/", std::string(Heartbeat)), 404},
            {request("PUT", "/v1/other/i-1", std::string(Heartbeat)), 404},
            {request("GET", "/v1/instances/i-1"), 405},
            {request("PUT", "/v1/instances/i-1", ""), 400},
            {request("PUT", "/v1/instances/i-1", "[]"), 400},
            {request("PUT", "/v1/instances/i-1", replaced("\"ready\"", "\"asleep\"")), 400},
            {request("PUT", "/v1/instances/i-1", replaced("168", "\"many\"")), 400},
            {request("PUT", "/v1/instances/i-1", replaced(":8080", "")), 400},
            {request("PUT", "/v1/instances/i-1", replaced("\"service\"", "\"srv\"")), 400},
    };
    for (const auto &it : cases) {
        auto told = Told();
        const auto answer = handleAnnouncement(it.request, told.hooks());
        cr_expect_eq(answer.status, it.status, "%s %s: %u", it.request.method.c_str(),
                     it.request.body.c_str(), answer.status);
        cr_expect(told.announcements.empty());
    }
}

Test(ControlApi, readinessIsTheNodesOwn)
{
    auto told = Told();
    cr_assert_eq(handleReadiness(request("GET", "/v1/ready"), told.hooks()).status, 200);
    told.isReady = false;
    cr_assert_eq(handleReadiness(request("GET", "/v1/ready"), told.hooks()).status, 503);
    cr_assert_eq(handleReadiness(request("GET", "/other"), told.hooks()).status, 404);
}
