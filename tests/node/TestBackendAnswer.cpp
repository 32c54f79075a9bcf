#include <criterion/criterion.h>

#include "../../source/node/BackendAnswer.h"
#include "../../source/node/EndToEndHeaders.h"
#include "../../source/node/ProblemResponse.h"

using namespace stairspur;
using namespace stairspur::node;
using admission::Completion;
using transport::HttpFailure;

Test(BackendAnswer, onlyTheOutcomeHeaderProvesNotRun)
{
    struct
    {
        std::uint32_t status;
        const char *outcome;
        Outcome expected;
        Completion completion;
    } cases[] = {
            {200, "", Outcome::Answered, Completion::Succeeded},
            {404, "", Outcome::Answered, Completion::Succeeded},
            {500, "", Outcome::Failed, Completion::Failed},
            {503, "", Outcome::Failed, Completion::Failed},
            {503, "not-run", Outcome::NotRun, Completion::Shed},
            {504, "not-run", Outcome::NotRun, Completion::Shed},
            {504, "unknown", Outcome::Unknown, Completion::Failed},
    };
    for (const auto &it : cases) {
        auto response = transport::HttpResponse{.status = it.status};
        if (*it.outcome)
            response.headers.set("Stairspur-Outcome", it.outcome);
        const auto result = interpretResponse(response);
        cr_expect(result.outcome == it.expected, "%u %s", it.status, it.outcome);
        cr_expect(result.completion == it.completion, "%u %s", it.status, it.outcome);
    }
}

Test(BackendAnswer, sentAttemptsAreNeverNotRun)
{
    cr_assert(interpretFailure(HttpFailure::NotConnected).outcome == Outcome::NotRun);
    for (const auto it : {HttpFailure::TimedOut, HttpFailure::Cancelled, HttpFailure::Broken})
        cr_assert(interpretFailure(it).outcome == Outcome::Unknown);
}

Test(BackendAnswer, requestCarriesCallDeadlineTraceAndKey)
{
    auto call = transport::CallRequest{
            .className = "orders", .idempotencyKey = "k1", .method = "PUT", .target = "/t"};
    call.root = parseRootId("4bf92f3577b34da6a3ce929d0e0e4736");
    const auto request = backendRequest(call, 0xab, std::chrono::milliseconds(250));
    cr_assert_eq(request.headers.find("Stairspur-Call"), "00000000000000ab");
    cr_assert_eq(request.headers.find("Stairspur-Timeout"), "250");
    // The parent id is the first 16 digits of SHA-256 of "span 00000000000000ab". The call's id is a credential and must
    // not be sent to other servers.
    cr_assert_eq(request.headers.find("traceparent"),
                 "00-4bf92f3577b34da6a3ce929d0e0e4736-2c8eee2c086709fd-00");
    cr_assert_eq(request.headers.find("Idempotency-Key"), "k1");
}

Test(BackendAnswer, aRefusalWithoutTheServersWordIsAFailureAndNotForwarded)
{
    const auto unproven = resultFor(ResponseKind::UnprovenRefusal);
    cr_expect(unproven.outcome == Outcome::Failed);
    cr_expect(unproven.isWithheld);
    for (const auto kind : {ResponseKind::Answered, ResponseKind::Failed})
        cr_expect(!resultFor(kind).isWithheld);
    cr_expect(resultFor(ResponseKind::Shed).outcome == Outcome::NotRun);
}

Test(EndToEndHeaders, connectionFieldsAndReservedFieldsAreRemoved)
{
    auto headers = transport::HeaderList();
    for (const auto *it : {"Connection", "keep-alive", "Transfer-Encoding", "Host",
                           "Content-Length", "X-Hop", "Stairspur-Outcome", "authorization"})
        headers.add(it, "X-Hop");
    headers.add("X-Dish", "soup");
    headers.add("Content-Type", "text/plain");
    const auto kept = endToEndHeaders(headers);
    cr_assert_eq(kept.fields().size(), 2);
    cr_assert_eq(kept.find("x-dish"), "soup");
}

Test(ProblemResponse, refusalsHaveARetryDelay)
{
    const auto response = problemResponse(Outcome::NotRun, Reason::BelowFloor, "detail",
                                          std::chrono::milliseconds(1200));
    cr_assert_eq(response.status, 503);
    cr_assert_eq(response.headers.find("Retry-After"), "2");
    cr_assert_eq(response.headers.find("Stairspur-Retry-After-Ms"), "1200");
    cr_assert_eq(response.headers.find("Stairspur-Outcome"), "not-run");
    cr_assert(response.body.find("\"reason\":\"below-floor\"") != std::string::npos);
}

Test(ProblemResponse, everyOutcomeHasItsStatus)
{
    struct
    {
        Outcome outcome;
        Reason reason;
        std::uint32_t status;
    } cases[] = {
            {Outcome::NotRun, Reason::QueueFull, 503},
            {Outcome::NotRun, Reason::Unauthorized, 401},
            {Outcome::NotRun, Reason::ClassNotAllowed, 403},
            {Outcome::NotRun, Reason::UnknownService, 404},
            {Outcome::NotRun, Reason::TooLarge, 413},
            {Outcome::NotRun, Reason::DeadlineExceeded, 504},
            {Outcome::Failed, Reason::BackendFailed, 502},
            {Outcome::Unknown, Reason::LinkLost, 504},
    };
    for (const auto &it : cases)
        cr_expect_eq(statusFor(it.outcome, it.reason), it.status, "%s",
                     std::string(nameOf(it.reason)).c_str());
}
