#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "CallPathHarness.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// Guards against the dispatch of a request that is quarantined while it waits at a gate.
using namespace stairspur;
using namespace stairspur::node;
using namespace std::chrono_literals;
using transport::HttpResponse;
using transport::Task;

static constexpr auto Poison = "poison";

/// Returns the quarantine record of a node where three backend servers crashed while they ran the request.
static auto refusalRecordFor(const quarantine::RequestFingerprint &request) -> std::string
{
    auto settings = quarantine::QuarantineSettings();
    settings.node = "other";
    auto state = quarantine::QuarantineState(settings, 1, monotonicNow());
    for (auto crash = 0; crash < 3; ++crash)
        state.didCrash({request}, monotonicNow());
    return state.save(request, monotonicNow());
}

Test(QuarantineAtDispatch, waitingRequestIsRefusedOnceItIsQuarantined)
{
    auto path = CallPathHarness();
    auto isReleased = false;
    auto seen = std::vector<std::string>();
    auto &host = path.addHost("menu", [&](auto request, auto) -> Task<HttpResponse> {
        seen.push_back(request.body);
        while (!isReleased) {
            auto timer = boost::asio::steady_timer(path.io, 1ms);
            co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return backendAnswer(200, request.body);
    });
    auto backend = *host.board.backend.read();
    backend.slots = 1;
    host.board.backend.publish(backend);
    const auto first = path.start(path.request("menu", "first"));
    cr_assert(path.runUntil([&] { return !seen.empty(); }));
    // Several calls are needed to make one wait, since the gate's limit adapts and may be above one.
    for (auto n = 0; n < 8; ++n)
        path.start(path.request("menu", "filler" + std::to_string(n)));
    const auto waiting = path.start(path.request("menu", Poison));
    auto settle = boost::asio::steady_timer(path.io, 50ms);
    auto isSettled = false;
    settle.async_wait([&](const auto &) { isSettled = true; });
    cr_assert(path.runUntil([&] { return isSettled; }));
    cr_assert(std::ranges::find(seen, Poison) == seen.end(), "the request waits");

    auto call = transport::CallRequest{.service = "menu", .className = "orders", .method = "POST"};
    call.target = "/";
    call.caller = "kitchen";
    call.body = Poison;
    host.quarantine.restore(refusalRecordFor(fingerprintOf(call)));
    isReleased = true;
    cr_assert(path.finish());
    cr_assert(std::ranges::find(seen, Poison) == seen.end());
    cr_assert_eq(path.responses[waiting].status, 503);
    cr_assert(path.responses[waiting].headers.find("Stairspur-Outcome") == "not-run");
    cr_assert_eq(path.responses[first].status, 200);
    // Calls that waited too long for the only backend server may be refused for overload. Each call that ran has its answer.
    const auto isAnswered = [](const auto &it) { return it.status == 200; };
    cr_assert_eq(std::ranges::count_if(path.responses, isAnswered), std::ssize(seen));
}
