#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "CallPathHarness.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// Guards against the dispatch of calls that were accepted before the backend server began to leave.
using namespace stairspur;
using namespace stairspur::node;
using namespace std::chrono_literals;
using transport::HttpResponse;
using transport::Task;

/// One host whose backend server leaves.
class LeavingHost
{
public:
    explicit LeavingHost(std::uint32_t slots = 8)
        : host(path.addHost("menu",
                            [this](auto request, auto) { return answer(std::move(request)); }))
    {
        auto backend = *host.board.backend.read();
        backend.slots = slots;
        host.board.backend.publish(backend);
    }

    /// Publishes the leaving as the control thread does. The gate's thread has not been notified yet.
    auto publishLeaving() -> void
    {
        auto backend = *host.board.backend.read();
        backend.state = membership::ServingState::Draining;
        backend.hasAnnouncedLeaving = true;
        host.board.backend.publish(backend);
    }

    auto runFor(Duration length) -> void
    {
        auto timer = boost::asio::steady_timer(path.io, length);
        auto isOver = false;
        timer.async_wait([&](const auto &) { isOver = true; });
        cr_assert(path.runUntil([&] { return isOver; }));
    }

    [[nodiscard]] auto isNotRun(std::size_t index) const -> bool
    {
        const auto &response = path.responses[index];
        return response.status == 503 && response.headers.find("Stairspur-Outcome") == "not-run";
    }

    CallPathHarness path;
    std::vector<std::string> arrived;
    bool isReleased = false;
    CallPathHarness::Host &host;

private:
    auto answer(transport::HttpRequest request) -> Task<HttpResponse>
    {
        arrived.push_back(request.body);
        while (!isReleased) {
            auto timer = boost::asio::steady_timer(path.io, 1ms);
            co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return backendAnswer(200, request.body);
    }
};

Test(LeavingAtDispatch, callsThatWaitForASlotAreNotSent)
{
    auto test = LeavingHost(1);
    const auto first = test.path.start(test.path.request("menu", "first"));
    cr_assert(test.path.runUntil([&] { return !test.arrived.empty(); }));
    // Several calls are needed to make one wait, since the gate's limit adapts and may be above one.
    for (auto n = 0; n < 8; ++n)
        test.path.start(test.path.request("menu", "filler" + std::to_string(n)));
    const auto last = test.path.start(test.path.request("menu", "last"));
    test.runFor(50ms);
    const auto arrived = test.arrived.size();
    test.publishLeaving();
    test.isReleased = true;
    cr_assert(test.path.finish());
    cr_assert_eq(test.arrived.size(), arrived);
    cr_assert(test.isNotRun(last));
    cr_assert_eq(test.path.responses[first].status, 200, "what runs ends whole");
}

Test(LeavingAtDispatch, aCallThatWaitsForAConnectionIsNotSent)
{
    auto test = LeavingHost();
    test.isReleased = true;
    const auto call = test.path.start(test.path.request("menu", "call"));
    // Stops while the gate connects: the call is admitted, and no byte has been sent.
    while (test.host.gate->report().inFlight == 0)
        cr_assert_gt(test.path.io.run_one_for(20s), 0);
    cr_assert(test.arrived.empty());
    test.publishLeaving();
    test.host.gate->refreshFromBoard();
    cr_assert(test.path.finish());
    cr_assert(test.arrived.empty());
    cr_assert(test.isNotRun(call));
}
