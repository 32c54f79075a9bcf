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

/// Calls that ask for a turn and keep it until they are told to go.
struct LaneBench
{
    asio::io_context io{1};
    /// Between two calls nothing is left to do.
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
    SuspectedCallLane lane{io};
    std::vector<SuspectedCallLane::Permit> held;
    std::vector<bool> results; ///< Whether the nth that ended got a turn.

    auto start(Duration patience, transport::CancellationPtr cancellation = nullptr) -> void
    {
        if (!cancellation)
            cancellation = std::make_shared<transport::Cancellation>();
        asio::co_spawn(io, ask(monotonicNow() + patience, std::move(cancellation)), asio::detached);
    }

    auto runUntil(std::size_t ended) -> void
    {
        while (results.size() < ended)
            io.run_one();
    }

private:
    auto ask(TimePoint deadline, transport::CancellationPtr cancellation) -> transport::Task<void>
    {
        auto turn = co_await lane.enter(deadline, std::move(cancellation));
        results.push_back(bool(turn));
        if (turn)
            held.push_back(std::move(turn));
    }
};

static constexpr auto Long = Duration{3'600'000'000};

Test(SuspectedCallLane, oneRunsAtATime)
{
    auto bench = LaneBench();
    bench.start(Long);
    bench.start(Long);
    bench.runUntil(1);
    cr_assert_eq(bench.held.size(), 1);
    for (auto n = 0; n < 20; ++n)
        bench.io.run_one();
    cr_assert_eq(bench.results.size(), 1, "the second one waits");
    bench.held.clear();
    bench.runUntil(2);
    cr_assert(bench.results[1]);
}

Test(SuspectedCallLane, whoseTimeIsUpOrWhomNobodyWantsGetsNoTurn)
{
    auto bench = LaneBench();
    bench.start(Long);
    bench.runUntil(1);
    bench.start(Duration{1'000});
    bench.runUntil(2);
    cr_assert(!bench.results[1]);
    auto cancellation = std::make_shared<transport::Cancellation>();
    bench.start(Long, cancellation);
    cancellation->cancel();
    bench.runUntil(3);
    cr_assert(!bench.results[2]);
}

Test(SuspectedCallLane, tooManyThatWaitAreRefusedAtOnce)
{
    static constexpr auto MostWaiting = std::size_t{32};
    auto bench = LaneBench();
    for (auto n = std::size_t{0}; n < MostWaiting + 2; ++n)
        bench.start(Long);
    bench.runUntil(2);
    cr_assert(bench.results[0]);
    cr_assert(!bench.results[1]);
}

/// A call may be destroyed with its turn after the lane is.
Test(SuspectedCallLane, aTurnMayOutliveItsLane)
{
    auto held = std::vector<SuspectedCallLane::Permit>();
    {
        auto bench = LaneBench();
        bench.start(Long);
        bench.runUntil(1);
        held = std::move(bench.held);
    }
    cr_assert_eq(held.size(), 1);
}
