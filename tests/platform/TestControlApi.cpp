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
    std::vector<membership::BackendIncarnation> left;
    std::vector<std::string> refusals; ///< The instances named in them.
    bool isReady = true;

    auto hooks() -> node::ControlHooks
    {
        return {[this](const auto &it) { announcements.push_back(it); },
                [this](const auto &it) { left.push_back(it); }, [this] { return isReady; },
                [this](const auto &instance, const auto &) { refusals.push_back(instance); }};
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
    cr_assert_eq(it.incarnation.instance, "i-1");
    cr_assert_eq(it.service, "maps");
    cr_assert_eq(it.address, "10.1.0.9");
    cr_assert_eq(it.port, 8080);
    cr_assert_eq(it.slots, 168);
    cr_assert_eq(it.sequence, 4);
    cr_assert(it.state == ServingState::Serving);
    cr_assert(it.coldRemaining == 500ms);
}

Test(ControlApi, leavingIsPassedOn)
{
    auto told = Told();
    cr_assert_eq(handleAnnouncement(request("DELETE", "/v1/instances/i-1"), told.hooks()).status,
                 200);
    cr_assert(told.left == std::vector<membership::BackendIncarnation>{{"i-1"}});
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

/// The heartbeat with one field's text replaced.
static auto withField(const std::string &from, const std::string &to) -> std::string
{
    auto text = std::string(Heartbeat);
    return text.replace(text.find(from), from.size(), to);
}

static auto nested(std::size_t depth) -> std::string
{
    return std::string(depth, '[') + std::string(depth, ']');
}

Test(ControlApi, whatAnotherWriterSendsNamesNoBackendServer)
{
    const auto bodies = std::vector<std::string>{
            "null",
            "7",
            "{}",
            "{\"service\":\"maps\"",
            std::string("{\"service\":\"\xff\xfe\"}"),
            std::string("\x00\x01\x02", 3),
            nested(2000),
            withField("\"zone\":\"north\"", "\"zone\":" + nested(500)),
            withField("\"service\":\"maps\",", ""),
            withField("\"maps\"", "7"),
            withField("\"maps\"", "\"\""),
            withField("\"10.1.0.9:8080\"", "\"10.1.0.9:65536\""),
            withField("\"10.1.0.9:8080\"", "\"10.1.0.9:80x\""),
            withField("\"10.1.0.9:8080\"", "\"10.1.0.9:-1\""),
            withField("\"10.1.0.9:8080\"", "\":8080\""),
            withField("\"10.1.0.9:8080\"", "8080"),
            withField("\"zone\":\"north\",", ""),
            withField("\"version\":\"v1\"", "\"version\":1"),
            withField("168", "-1"),
            withField("168", "0"),
            withField("168", "1.5"),
            withField("168", "true"),
            withField("168", "null"),
            withField("168", "4294967296"),
            withField("168", "1e300"),
            withField("\"ready\"", "\"left\""),
            withField("\"ready\"", "true"),
            withField("\"cold_remaining_s\":0.5", "\"cold_remaining_s\":-0.5"),
            withField("\"cold_remaining_s\":0.5", "\"cold_remaining_s\":1e300"),
            withField("\"cold_remaining_s\":0.5", "\"cold_remaining_s\":\"0.5\""),
            withField("\"cold_remaining_s\":0.5", "\"cold_remaining_s\":false"),
            withField("\"cold_remaining_s\":0.5,", ""),
            withField("\"seq\":4", "\"seq\":-4"),
            withField("\"seq\":4", "\"seq\":\"4\""),
            withField("\"seq\":4", "\"seq\":4.5"),
            withField("\"seq\":4", "\"seq\":4,\"born\":\"1700000000000\""),
            withField("\"seq\":4", "\"seq\":4,\"born\":-1"),
            withField("\"seq\":4", "\"seq\":4,\"born\":0"),
            withField("\"seq\":4", "\"seq\":4,\"born\":1.5"),
            withField("\"seq\":4", "\"seq\":4,\"born\":true"),
            withField("\"v1\"", "\"" + std::string(5000, 'v') + "\""),
    };
    for (const auto &it : bodies) {
        auto told = Told();
        const auto answer =
                handleAnnouncement(request("PUT", "/v1/instances/i-1", it), told.hooks());
        cr_expect_eq(answer.status, 400, "%.80s: %u", it.c_str(), answer.status);
        cr_expect(told.announcements.empty(), "%.80s", it.c_str());
        cr_expect(told.refusals == std::vector<std::string>{"i-1"}, "%.80s", it.c_str());
    }
}

Test(ControlApi, instancesHavePlainNames)
{
    for (const auto &it : {std::string("a/b"), std::string("a\nb"), std::string("\xc3\xa4"),
                           std::string(201, 'i')}) {
        auto told = Told();
        const auto answer = handleAnnouncement(
                request("PUT", "/v1/instances/" + it, std::string(Heartbeat)), told.hooks());
        cr_expect_eq(answer.status, 404, "%.20s", it.c_str());
        cr_expect(told.announcements.empty());
    }
}

Test(ControlApi, theStartOfALifeIsReadWhereItIsTold)
{
    auto told = Told();
    handleAnnouncement(request("PUT", "/v1/instances/i-1", std::string(Heartbeat)), told.hooks());
    const auto born = withField("\"seq\":4", "\"seq\":4,\"born\":1700000000000");
    handleAnnouncement(request("PUT", "/v1/instances/i-1", born), told.hooks());
    cr_assert_eq(told.announcements.at(0).incarnation.startedAtMs, 0);
    cr_assert_eq(told.announcements.at(1).incarnation.startedAtMs, 1'700'000'000'000);
    handleAnnouncement(request("DELETE", "/v1/instances/i-1", R"({"born":1700000000000})"),
                       told.hooks());
    const auto incarnation = membership::BackendIncarnation{"i-1", 1'700'000'000'000};
    cr_assert(told.left == std::vector{incarnation});
    handleAnnouncement(request("DELETE", "/v1/instances/i-1", R"({"born":"now"})"), told.hooks());
    cr_assert_eq(told.left.size(), 1);
    cr_assert_eq(told.refusals.size(), 1);
}
