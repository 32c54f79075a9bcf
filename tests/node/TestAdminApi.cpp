#include <criterion/criterion.h>

#include <stairspur/membership/Announcement.h>

#include "../../source/node/AdminApi.h"

using namespace stairspur;
using namespace stairspur::node;

/// Hooks that count their calls. Announcements are parsed as the node parses them.
struct FakeNode
{
    auto api() -> AdminApi
    {
        return AdminApi({
                [this](const std::string &body) {
                    membership::parseAnnouncement(body);
                    ++announcements;
                },
                [this] { ++drains; },
                [](const std::string &name) { return name == "0123456789ab"; },
                [this] { return isReady; },
                [] { return std::string("{\"node\": \"n\"}\n"); },
                [] { return std::string("a_total 1\n"); },
        });
    }

    bool isReady = true;
    int announcements = 0;
    int drains = 0;
};

static auto send(FakeNode &node, const std::string &method, const std::string &target,
                 const std::string &body = {}) -> transport::HttpResponse
{
    auto request = transport::HttpRequest{.method = method, .target = target, .body = body};
    return node.api().handle(request);
}

static constexpr auto GoodAnnouncement =
        R"({"service": "menu", "port": 8080, "slots": 8, "state": "serving"})";

Test(AdminApi, eachPathAndMethodHasItsStatus)
{
    struct
    {
        const char *path;
        const char *method;
        std::uint32_t status;
    } cases[] = {
            {"/healthz", "GET", 200},  {"/readyz", "GET", 200},     {"/status", "GET", 200},
            {"/metrics", "GET", 200},  {"/drain", "POST", 202},     {"/announce", "POST", 200},
            {"/release", "POST", 404}, {"/release", "GET", 405},    {"/status?x=1", "GET", 200},
            {"/healthz", "POST", 405}, {"/readyz", "POST", 405},    {"/status", "POST", 405},
            {"/metrics", "PUT", 405},  {"/drain", "GET", 405},      {"/announce", "GET", 405},
            {"/drain", "DELETE", 405}, {"/", "GET", 404},           {"", "GET", 404},
            {"/drain/", "POST", 404},  {"/statusx", "GET", 404},    {"//status", "GET", 404},
            {"/STATUS", "GET", 404},   {"/healthz%20", "GET", 404}, {"?/status", "GET", 404},
    };
    for (const auto &it : cases) {
        auto node = FakeNode();
        const auto isAnnouncement = std::string_view(it.path) == "/announce";
        const auto response =
                send(node, it.method, it.path, isAnnouncement ? GoodAnnouncement : "");
        cr_expect_eq(response.status, it.status, "%s %s: %u", it.method, it.path, response.status);
        const auto isProblem = response.headers.find("Content-Type") == "application/problem+json";
        cr_expect_eq(isProblem, it.status >= 400, "%s %s", it.method, it.path);
        const auto isDrain = it.status == 202;
        cr_expect_eq(node.drains, isDrain ? 1 : 0, "%s %s", it.method, it.path);
        cr_expect_eq(node.announcements, isAnnouncement && it.status == 200 ? 1 : 0, "%s %s",
                     it.method, it.path);
    }
}

Test(AdminApi, invalidAnnouncementsAreRefusedWithARemedy)
{
    for (const auto *it :
         {"", "hello", "[]", "{}", R"({"service": "menu"})", R"({"service": 7, "port": 8080})",
          R"({"service": "menu", "port": 0, "slots": 8, "state": "serving"})",
          R"({"service": "menu", "port": 70000, "slots": 8, "state": "serving"})",
          R"({"service": "menu", "port": 8080, "slots": -1, "state": "serving"})",
          R"({"service": "menu", "port": 8080, "slots": 8, "state": "busy"})", "\xff\xfe"}) {
        auto node = FakeNode();
        const auto response = send(node, "POST", "/announce", it);
        cr_expect_eq(response.status, 400, "%s: %u", it, response.status);
        cr_expect_eq(node.announcements, 0, "%s", it);
        // Each message separates the problem and the remedy by a semicolon.
        cr_expect_neq(response.body.find("; "), std::string::npos, "%s: %s", it,
                      response.body.c_str());
    }
}

Test(AdminApi, onlyReadyzDependsOnReadiness)
{
    auto node = FakeNode();
    node.isReady = false;
    cr_assert_eq(send(node, "GET", "/readyz").status, 503);
    cr_assert_eq(send(node, "GET", "/readyz").body, "{\"ready\":false}\n");
    cr_assert_eq(send(node, "GET", "/healthz").status, 200);
    cr_assert_eq(send(node, "GET", "/status").status, 200);
}

Test(AdminApi, operatorReleasesAQuarantinedRequest)
{
    auto node = FakeNode();
    cr_assert_eq(send(node, "POST", "/release", "0123456789ab").status, 202);
    cr_assert_eq(send(node, "POST", "/release", "another").status, 404);
}
