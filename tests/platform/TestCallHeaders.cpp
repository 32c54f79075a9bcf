#include <string>

#include <platform/CallHeaders.h>
#include <stairspur/core/Hash.h>
#include <stairspur/node/CallRejected.h>

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::platform;
using node::CallRejected;
using node::ResponseKind;
using transport::CallAnswer;
using transport::CallRequest;
using transport::HttpRequest;
using transport::HttpResponse;
using namespace std::chrono_literals;

static auto request() -> HttpRequest
{
    auto request = HttpRequest();
    request.method = "GET";
    request.target = "/v/2f?q=1";
    request.headers.add("Host", "a.example:80");
    request.headers.add("X-Attempt-Id", "root.parent.own");
    request.headers.add("X-Deadline-Ms", "5000");
    request.headers.add("X-Caller-Service", "forged");
    request.headers.add("x-expect-instance", "forged");
    request.headers.add("Connection", "keep-alive, X-Hop");
    request.headers.add("X-Hop", "1");
    request.headers.add("Authorization", "Bearer mine");
    request.headers.add("x-api-KEY", "secret");
    request.headers.add("X-Tenant", "forged");
    request.headers.add("x-tenant", "forged");
    return request;
}

Test(CallHeaders, aRequestIsDecodedOnce)
{
    const auto routed = platformCalls().readRequest(request());
    cr_assert_eq(routed.attemptId, "root.parent.own");
    cr_assert_eq(routed.parentAttemptId, "root.parent");
    cr_assert_eq(routed.rootAttemptId, "root");
    cr_assert(routed.remaining == 5s);
    cr_assert_eq(routed.host, "a.example");
    cr_assert_eq(routed.path, "/v/2f");
    cr_assert_eq(routed.target, "/v/2f?q=1");
}

Test(CallHeaders, anOutsideAttemptHasNoParent)
{
    auto outside = request();
    outside.headers.set("X-Attempt-Id", "9c41d07be2a35f68");
    const auto routed = platformCalls().readRequest(std::move(outside));
    cr_assert_eq(routed.parentAttemptId, "");
    cr_assert_eq(routed.rootAttemptId, "9c41d07be2a35f68");
}

Test(CallHeaders, whatTheNodeSaysItselfIsNotPassedOn)
{
    const auto headers = platformCalls().readRequest(request()).headers;
    for (const auto *name : {"X-Caller-Service", "X-Expect-Instance", "Connection", "X-Hop",
                             "X-Deadline-Ms", "X-Attempt-Id", "X-Api-Key", "X-Tenant"})
        cr_expect(!headers.contains(name), "%s", name);
    cr_assert(headers.find("Authorization") == "Bearer mine");
    cr_assert(headers.find("Host") == "a.example:80");
}

Test(CallHeaders, theKeyIsKnownByItsHashAndCountsWhenItIsTheOnlyOne)
{
    cr_assert_eq(platformCalls().readRequest(request()).keySha256, sha256Hex("secret"));
    auto none = request();
    none.headers.remove("X-Api-Key");
    cr_assert_eq(platformCalls().readRequest(none).keySha256, "");
    auto empty = request();
    empty.headers.set("X-Api-Key", "");
    cr_assert_eq(platformCalls().readRequest(empty).keySha256, "");
    auto two = request();
    two.headers.add("X-Api-Key", "other");
    cr_assert_eq(platformCalls().readRequest(two).keySha256, "");
}

Test(CallHeaders, theBackendServerIsToldTheCallerAndNeverTheKey)
{
    auto call = CallRequest();
    call.caller = "kitchen";
    call.headers = platformCalls().readRequest(request()).headers;
    auto sent = platformCalls().writeBackendRequest(call, 1s, "");
    cr_assert(sent.headers.find("X-Tenant") == "kitchen");
    for (const auto &it : sent.headers.fields())
        cr_expect(it.value.find("secret") == std::string::npos, "%s", it.name.c_str());
    call.caller.clear();
    sent = platformCalls().writeBackendRequest(call, 1s, "");
    cr_assert(!sent.headers.contains("X-Tenant"), "nobody calls on a public route");
}

Test(CallHeaders, aRequestWithoutIdOrWithAWrongDeadlineIsRefused)
{
    auto noId = request();
    noId.headers.remove("X-Attempt-Id");
    cr_assert_throw(platformCalls().readRequest(noId), CallRejected);
    for (const auto *value : {"soon", "-1", "1.5", "99999999999999999999"}) {
        auto wrong = request();
        wrong.headers.set("X-Deadline-Ms", value);
        cr_expect_throw(platformCalls().readRequest(wrong), CallRejected, "%s", value);
    }
}

Test(CallHeaders, theBackendServerIsToldWhoCallsAndForHowLong)
{
    auto call = CallRequest();
    call.attemptId = "root";
    call.originService = "menu";
    const auto sent = platformCalls().writeBackendRequest(call, 1234567us, "i-1");
    cr_assert(sent.headers.find("X-Attempt-Id") == "root");
    cr_assert(sent.headers.find("X-Deadline-Ms") == "1234");
    cr_assert(sent.headers.find("X-Caller-Service") == "menu");
    cr_assert(sent.headers.find("X-Expect-Instance") == "i-1");
}

Test(CallHeaders, eachEndHasItsStatus)
{
    struct
    {
        Outcome outcome;
        Reason reason;
        std::uint32_t status;
    } const cases[] = {
            {Outcome::NotRun, Reason::BelowFloor, 503},
            {Outcome::NotRun, Reason::NoUpstream, 503},
            {Outcome::NotRun, Reason::DeadlineExceeded, 503},
            {Outcome::NotRun, Reason::UnknownService, 404},
            {Outcome::NotRun, Reason::TooLarge, 413},
            {Outcome::NotRun, Reason::BadRequest, 400},
            {Outcome::NotRun, Reason::Unauthorized, 401},
            {Outcome::NotRun, Reason::QuotaExceeded, 429},
            {Outcome::NotRun, Reason::StaleConfiguration, 503},
            {Outcome::Unknown, Reason::LinkLost, 502},
            {Outcome::Unknown, Reason::DeadlineExceeded, 504},
            {Outcome::Failed, Reason::BackendFailed, 502},
    };
    for (const auto &it : cases) {
        auto answer = CallAnswer();
        answer.outcome = it.outcome;
        answer.reason = it.reason;
        answer.retryAfter = 250ms;
        const auto response = platformCalls().writeAnswer(answer, "root");
        cr_expect_eq(response.status, it.status, "%s %s: %u", nameOf(it.outcome).data(),
                     nameOf(it.reason).data(), response.status);
        const auto isPromise = response.status == 503 || response.status == 429;
        cr_expect_eq(response.headers.contains("Retry-After"), isPromise);
        cr_expect(!isPromise || response.headers.find("Retry-After") == "0.250");
        cr_expect(!response.headers.contains("X-Server-Seal"));
    }
}

Test(CallHeaders, theBackendServersAnswerIsPassedOnAsItIs)
{
    auto answer = CallAnswer();
    answer.outcome = Outcome::Failed;
    answer.status = 500;
    answer.headers.add("X-Server-Seal", "seal");
    answer.headers.add("Keep-Alive", "timeout=9");
    answer.body = "body";
    const auto response = platformCalls().writeAnswer(answer, "root");
    cr_assert_eq(response.status, 500);
    cr_assert(response.headers.find("X-Server-Seal") == "seal");
    cr_assert(!response.headers.contains("Keep-Alive"));
    cr_assert(response.headers.find("X-Attempt-Id") == "root");
    cr_assert_eq(response.body, "body");
}

Test(CallHeaders, whatTheEntryKnowsIsNotSentBackToIt)
{
    const auto calls = platformCalls();
    cr_assert(!calls.isForwardedField("x-attempt-id"));
    cr_assert(!calls.isForwardedField("X-Server-Load"));
    cr_assert(calls.isForwardedField("X-Server-Seal"));
    cr_assert(calls.isForwardedField("Content-Type"));
}

Test(CallHeaders, onlyTheBackendServersWordSaysThatItDidNotRun)
{
    struct
    {
        std::uint32_t status;
        bool saysNotRun;
        bool hasSeal;
        ResponseKind kind;
    } const cases[] = {
            {200, false, true, ResponseKind::Answered},
            {200, false, false, ResponseKind::Damaged},
            {404, false, true, ResponseKind::Answered},
            {500, false, true, ResponseKind::Failed},
            {503, true, false, ResponseKind::Shed},
            {429, true, false, ResponseKind::Shed},
            {503, false, false, ResponseKind::UnprovenRefusal},
            {503, false, true, ResponseKind::UnprovenRefusal},
            {429, false, true, ResponseKind::UnprovenRefusal},
            {408, false, true, ResponseKind::UnprovenRefusal},
            {408, true, false, ResponseKind::Shed},
            {504, false, true, ResponseKind::Failed},
            {421, false, false, ResponseKind::WrongInstance},
    };
    for (const auto &it : cases) {
        auto response = HttpResponse();
        response.status = it.status;
        if (it.saysNotRun)
            response.headers.add("X-Not-Executed", "1");
        if (it.hasSeal)
            response.headers.add("X-Server-Seal", "s");
        cr_expect(platformCalls().readBackendResponse(response) == it.kind, "%u", it.status);
    }
}

Test(CallHeaders, anAnswerRepeatsTheIdOfItsRequest)
{
    const auto calls = platformCalls();
    auto response = HttpResponse();
    cr_assert(calls.echoedId(response.headers).empty(), "a refusal may come without an id");
    response.headers.set("x-attempt-id", "root.parent.own");
    cr_assert_eq(calls.echoedId(response.headers), "root.parent.own");
    cr_assert_eq(calls.echoedId(request().headers), "root.parent.own");
}
