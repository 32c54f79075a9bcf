#include <criterion/criterion.h>

#include <stairspur/cli/DrainCommand.h>
#include <stairspur/cli/ReleaseCommand.h>
#include <stairspur/cli/StatusCommand.h>
#include <stairspur/transport/HttpClient.h>

using namespace stairspur;
using namespace stairspur::cli;
using transport::HttpClientError;
using transport::HttpFailure;

/// A node's admin port that gives one answer and keeps the last request.
struct FakeNode
{
    transport::HttpResponse response;
    transport::HttpRequest request;

    auto sender() -> AdminSender
    {
        return [this](transport::HttpRequest sent) {
            request = std::move(sent);
            return response;
        };
    }
};

static auto failingSender(HttpFailure failure) -> AdminSender
{
    return [failure](const transport::HttpRequest &) -> transport::HttpResponse {
        throw HttpClientError(failure, "no", "yes");
    };
}

static constexpr auto NodeStatus = R"({"node": "192.0.2.7:7100", "failureDomain": "bezigrad",
    "state": "serving", "configuration": {"version": 12, "hash": "ab",
    "domains": {"bezigrad": {"12": 40, "11": 1}, "domzale": {"0": 3}}},
    "domains": [
        {"failureDomain": "bezigrad", "alive": 41, "suspect": 1, "dead": 0, "left": 2, "serving": 39,
         "draining": 1, "starting": 1, "cutOff": false, "heardSecondsAgo": 0.42},
        {"failureDomain": "domzale", "alive": 0, "suspect": 3, "dead": 1, "left": 0, "serving": 0,
         "draining": 0, "starting": 0, "cutOff": true, "heardSecondsAgo": 84.6},
        {"failureDomain": "kamnik", "alive": 2, "suspect": 0, "dead": 0, "left": 0, "serving": 2,
         "draining": 0, "starting": 0, "cutOff": false, "heardSecondsAgo": null}],
    "members": [
        {"node": "192.0.2.7:7100", "service": "menu", "failureDomain": "bezigrad", "state": "serving",
         "liveness": "alive", "heardSecondsAgo": null, "judgedSecondsAgo": null},
        {"node": "192.0.2.8:7100", "service": "", "failureDomain": "domzale", "state": "starting",
         "liveness": "suspect", "heardSecondsAgo": 84.6, "judgedSecondsAgo": 700.0},
        {"node": "192.0.2.9:7100", "service": "menu", "failureDomain": "bezigrad", "state": "left",
         "liveness": "dead", "heardSecondsAgo": null, "judgedSecondsAgo": 3.0}]})";

static auto readHead() -> HeadSummary
{
    return {13, "cd", "a1"};
}

static auto failToReadHead() -> HeadSummary
{
    throw Error("the store is down", "wait");
}

Test(Drain, asksTheNodeOnce)
{
    auto node = FakeNode{{202, {}, ""}, {}};
    cr_assert(drain(node.sender()).exitCode == ExitCode::Ok);
    cr_assert_eq(node.request.method, "POST");
    cr_assert_eq(node.request.target, "/drain");
}

Test(Drain, failuresHaveTheirExitCodes)
{
    auto refusing = FakeNode{{404, {}, "no"}, {}};
    struct
    {
        AdminSender send;
        ExitCode exitCode;
    } cases[] = {
            {failingSender(HttpFailure::NotConnected), ExitCode::Unreachable},
            {failingSender(HttpFailure::TimedOut), ExitCode::Unknown},
            {failingSender(HttpFailure::Broken), ExitCode::Unknown},
            {refusing.sender(), ExitCode::Failed},
    };
    for (const auto &it : cases) {
        try {
            drain(it.send);
            cr_assert_fail("accepted");
        } catch (const CommandError &error) {
            cr_assert(error.exitCode() == it.exitCode, "%s", error.what());
        }
    }
}

Test(Release, namesTheRequestToTheNode)
{
    auto node = FakeNode{{202, {}, ""}, {}};
    cr_assert(release(node.sender(), "0123456789ab").exitCode == ExitCode::Ok);
    cr_assert_eq(node.request.method, "POST");
    cr_assert_eq(node.request.target, "/release");
    cr_assert_eq(node.request.body, "0123456789ab");
    auto ignorant = FakeNode{{404, {}, "no such request"}, {}};
    cr_assert_throw(release(ignorant.sender(), "0123456789ab"), CommandError);
}

Test(Status, showsRequestsUnderWhichBackendServersEnd)
{
    auto text = std::string(NodeStatus);
    text.insert(text.find("\"members\""),
                R"("quarantine": [{"request": "0123456789ab", "standing": "refused", "crashes": 3,
                 "retryAfterSeconds": 284.5}, {"request": "ba9876543210", "standing": "on-trial",
                 "crashes": 2, "retryAfterSeconds": 0.0}], )");
    auto node = FakeNode{{200, {}, text}, {}};
    const auto report = status(readHead, node.sender());
    cr_assert_neq(report.text.find("0123456789ab               refused   3        in 284 s"),
                  std::string::npos, "%s", report.text.c_str());
    cr_assert_neq(report.text.find("ba9876543210               on-trial  2        alone"),
                  std::string::npos, "%s", report.text.c_str());
}

Test(Status, showsTheHeadAndTheVersionsInForce)
{
    auto node = FakeNode{{200, {}, NodeStatus}, {}};
    const auto report = status(readHead, node.sender());
    cr_assert(report.exitCode == ExitCode::Ok);
    cr_assert_eq(node.request.target, "/status");
    cr_assert_eq(report.text,
                 "store: version 13, hash cd\n"
                 "node 192.0.2.7:7100 in bezigrad, serving: version 12, hash ab\n"
                 "\n"
                 "FAILURE DOMAIN  ALIVE  SUSPECT  DEAD  LEFT  SERVING  DRAINING  STARTING  "
                 "HEARD       VERSIONS IN FORCE\n"
                 "domzale         0      3        1     0     0        0         0         "
                 "85 s ago    none on 3 nodes\n"
                 "bezigrad        41     1        0     2     39       1         1         "
                 "0.4 s ago   11 on 1 node, 12 on 40 nodes\n"
                 "kamnik          2      0        0     0     2        0         0         "
                 "not lately  not heard\n"
                 "CUT OFF: no node of failure domain domzale is alive as far as this node knows "
                 "(3 suspect, 1 dead); last heard 85 s ago\n"
                 "\n"
                 "NODE NOT ALIVE  SERVICE  FAILURE DOMAIN  IS       SINCE       HEARD\n"
                 "192.0.2.8:7100  -        domzale         suspect  12 min ago  85 s ago\n");
    cr_assert_eq(report.json.at("store").at("version"), 13);
    cr_assert_eq(report.json.at("store").at("applyId"), "a1");
    cr_assert_eq(report.json.at("domains").at("bezigrad").at("12"), 40);
    cr_assert_eq(report.json.at("members").at("domzale").at("cutOff"), true);
    cr_assert_eq(report.json.at("members").at("bezigrad").at("alive"), 41);
    cr_assert(report.json.at("members").at("kamnik").at("heardSecondsAgo").is_null());
}

Test(Status, saysWhoGaveNoAnswerAndShowsTheRest)
{
    auto node = FakeNode{{200, {}, NodeStatus}, {}};
    const auto withoutStore = status(failToReadHead, node.sender());
    cr_assert(withoutStore.exitCode == ExitCode::Unreachable);
    cr_assert(
            withoutStore.text.starts_with("store: no answer: the store is down; wait\nnode 192."));
    cr_assert_eq(withoutStore.json.at("node").at("version"), 12);

    const auto withoutNode = status(readHead, failingSender(HttpFailure::NotConnected));
    cr_assert(withoutNode.exitCode == ExitCode::Unreachable);
    cr_assert_eq(withoutNode.text, "store: version 13, hash cd\nnode: no answer: no; yes\n");

    const auto storeNotSet = status({}, node.sender());
    cr_assert(storeNotSet.exitCode == ExitCode::Ok);
    cr_assert(!storeNotSet.json.contains("store"));
}

Test(Status, answersOfSomethingElseAreNoAnswers)
{
    for (const auto *it : {"", "hello", "[]", "{}", R"({"node": 1})",
                           R"({"node": "n", "failureDomain": "d", "state": "s", "configuration":
                              {"version": 1, "hash": "h", "domains": {"d": {"x": 1}}}})"}) {
        auto node = FakeNode{{200, {}, it}, {}};
        cr_assert(status({}, node.sender()).exitCode == ExitCode::Unreachable, "accepted %s", it);
    }
    auto node = FakeNode{{404, {}, NodeStatus}, {}};
    cr_assert(status({}, node.sender()).exitCode == ExitCode::Unreachable);
}
