#include "ProblemResponse.h"

#include <nlohmann/json.hpp>

#include "EndToEndHeaders.h"

namespace stairspur::node {

namespace header = transport::header;

static auto statusForNotRun(Reason reason) -> std::uint32_t
{
    switch (reason) {
    case Reason::BadRequest:
    case Reason::UnknownClass:
        return 400;
    case Reason::Unauthorized:
        return 401;
    case Reason::ClassNotAllowed:
        return 403;
    case Reason::UnknownService:
        return 404;
    case Reason::KeyInProgress:
    case Reason::ParentUnknown:
        return 409;
    case Reason::TooLarge:
        return 413;
    case Reason::QuotaExceeded:
        return 429;
    case Reason::DeadlineExceeded:
    case Reason::WaitExceedsDeadline:
        return 504;
    default:
        return 503;
    }
}

auto statusFor(Outcome outcome, Reason reason) -> std::uint32_t
{
    switch (outcome) {
    case Outcome::NotRun:
        return statusForNotRun(reason);
    case Outcome::Failed:
        return 502;
    case Outcome::Unknown:
        return reason == Reason::KeyInProgress ? 409 : 504;
    case Outcome::Answered:
        break;
    }
    return 200;
}

static auto addRetryAfter(transport::HeaderList &headers, Duration retryAfter) -> void
{
    if (retryAfter <= Duration::zero())
        return;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    headers.set(std::string(header::RetryAfter), std::to_string(seconds));
    headers.set(std::string(header::RetryAfterMs), std::to_string(toMilliseconds(retryAfter)));
}

auto problemResponse(Outcome outcome, Reason reason, const std::string &detail, Duration retryAfter)
        -> transport::HttpResponse
{
    auto response = transport::HttpResponse();
    response.status = statusFor(outcome, reason);
    const auto name = std::string(nameOf(reason));
    const auto problem = nlohmann::json{
            {"type", "urn:stairspur:problem:" + name},
            {"title", "The call has no answer: " + std::string(nameOf(outcome))},
            {"status", response.status},
            {"detail", detail},
            {"outcome", nameOf(outcome)},
            {"reason", name},
            {"retryAfterMs", toMilliseconds(retryAfter)},
    };
    response.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.headers.set("Content-Type", "application/problem+json");
    response.headers.set(std::string(header::Outcome), std::string(nameOf(outcome)));
    response.headers.set(std::string(header::Reason), name);
    addRetryAfter(response.headers, retryAfter);
    return response;
}

static auto detailFor(Outcome outcome, Reason reason) -> std::string
{
    switch (outcome) {
    case Outcome::NotRun:
        return "The call ran nowhere (" + std::string(nameOf(reason)) + "). It is safe to retry.";
    case Outcome::Failed:
        return "The call ran and failed (" + std::string(nameOf(reason)) + ").";
    default:
        return "The call may have run (" + std::string(nameOf(reason))
               + "). Retry with the same Idempotency-Key, or only if it may run twice.";
    }
}

auto responseFor(transport::CallAnswer answer) -> transport::HttpResponse
{
    if (answer.status == 0)
        return problemResponse(answer.outcome, answer.reason,
                               detailFor(answer.outcome, answer.reason), answer.retryAfter);
    auto response = transport::HttpResponse();
    response.status = answer.status;
    response.headers = endToEndHeaders(answer.headers);
    response.headers.set(std::string(header::Outcome), std::string(nameOf(answer.outcome)));
    response.body = std::move(answer.body);
    return response;
}

} // namespace stairspur::node
