#include <criterion/criterion.h>

#include <stairspur/cli/DrainCommand.h>
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
    "domains": {"bezigrad": {"12": 40, "11": 1}, "domzale": {"9": 3}}}})";

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

Test(Status, showsTheHeadAndTheVersionsInForce)
{
    auto node = FakeNode{{200, {}, NodeStatus}, {}};
    const auto report = status(readHead, node.sender());
    cr_assert(report.exitCode == ExitCode::Ok);
    cr_assert_eq(node.request.target, "/status");
    cr_assert_eq(report.text,
                 "store: version 13, hash cd\n"
                 "node 192.0.2.7:7100 in bezigrad, serving: version 12, hash ab\n"
                 "failure domain bezigrad: version 11 on 1 node version 12 on 40 nodes\n"
                 "failure domain domzale: version 9 on 3 nodes\n");
    cr_assert_eq(report.json.at("store").at("version"), 13);
    cr_assert_eq(report.json.at("store").at("applyId"), "a1");
    cr_assert_eq(report.json.at("domains").at("bezigrad").at("12"), 40);
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
