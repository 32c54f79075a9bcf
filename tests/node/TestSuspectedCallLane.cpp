#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>

#include "../../source/node/SuspectedCallLane.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::node;
namespace asio = boost::asio;

/// Calls that enter the lane and keep their permits until the test releases them.
struct LaneHarness
{
    asio::io_context io{1};
    /// Keeps the I/O context running between two calls.
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
    SuspectedCallLane lane{io};
    std::vector<SuspectedCallLane::Permit> permits;
    std::vector<bool> results; ///< Whether the nth call that finished waiting received a permit.

    auto start(Duration patience, transport::CancellationPtr cancellation = nullptr) -> void
    {
        if (!cancellation)
            cancellation = std::make_shared<transport::Cancellation>();
        asio::co_spawn(io, enterLane(monotonicNow() + patience, std::move(cancellation)),
                       asio::detached);
    }

    auto runUntil(std::size_t ended) -> void
    {
        while (results.size() < ended)
            io.run_one();
    }

private:
    auto enterLane(TimePoint deadline, transport::CancellationPtr cancellation)
            -> transport::Task<void>
    {
        auto permit = co_await lane.enter(deadline, std::move(cancellation));
        results.push_back(bool(permit));
        if (permit)
            permits.push_back(std::move(permit));
    }
};

static constexpr auto Long = Duration{3'600'000'000};

Test(SuspectedCallLane, oneCallRunsAtATime)
{
    auto harness = LaneHarness();
    harness.start(Long);
    harness.start(Long);
    harness.runUntil(1);
    cr_assert_eq(harness.permits.size(), 1);
    for (auto n = 0; n < 20; ++n)
        harness.io.run_one();
    cr_assert_eq(harness.results.size(), 1, "the second call waits");
    harness.permits.clear();
    harness.runUntil(2);
    cr_assert(harness.results[1]);
}

Test(SuspectedCallLane, expiredOrCancelledCallsReceiveNoPermit)
{
    auto harness = LaneHarness();
    harness.start(Long);
    harness.runUntil(1);
    harness.start(Duration{1'000});
    harness.runUntil(2);
    cr_assert(!harness.results[1]);
    auto cancellation = std::make_shared<transport::Cancellation>();
    harness.start(Long, cancellation);
    cancellation->cancel();
    harness.runUntil(3);
    cr_assert(!harness.results[2]);
}

Test(SuspectedCallLane, callsAboveTheWaitingLimitAreRefusedAtOnce)
{
    static constexpr auto MaxWaiting = std::size_t{32};
    auto harness = LaneHarness();
    for (auto n = std::size_t{0}; n < MaxWaiting + 2; ++n)
        harness.start(Long);
    harness.runUntil(2);
    cr_assert(harness.results[0]);
    cr_assert(!harness.results[1]);
}

/// Guards against a use of the destroyed lane by a call that is destroyed later with its permit.
Test(SuspectedCallLane, permitMayOutliveItsLane)
{
    auto permits = std::vector<SuspectedCallLane::Permit>();
    {
        auto harness = LaneHarness();
        harness.start(Long);
        harness.runUntil(1);
        permits = std::move(harness.permits);
    }
    cr_assert_eq(permits.size(), 1);
}
