#include <algorithm>
#include <functional>

#include <criterion/criterion.h>

#include "PoolFixture.h"

/// An upstream about which only calls bring news is asked again while the others have room.
using namespace stairspur;
using namespace stairspur::routing;

/// Three upstreams under a light load. The first one is in a bad state once, and well from then on.
class RecoveringPool
{
public:
    static constexpr auto Recovering = "own0";

    explicit RecoveringPool(std::uint64_t seed)
        : m_fixture(makeUpstreams("own", 3), seed)
    {}

    /// Sends a call each 10 ms, each of which is answered after 5 ms with a report of an idle gate. Returns the time of the
    /// first call to the recovering upstream.
    auto run(Duration length) -> std::optional<TimePoint>
    {
        auto first = std::optional<TimePoint>();
        auto &now = m_fixture.now;
        for (const auto end = now + length; now < end; now += Millisecond * 5) {
            const auto request = RouteRequest{
                    .level = levelOf(1), .deadline = now + Millisecond * 1'000, .mayProbe = false};
            const auto decision = m_fixture.pool.choose(request, now, m_fixture.random);
            cr_assert(decision.node);
            if (decision.node == Recovering && !first)
                first = now;
            m_fixture.pool.didSend(*decision.node, now);
            now += Millisecond * 5;
            answer(*decision.node, Millisecond * 5);
        }
        return first;
    }

    auto answer(const NodeId &node, Duration latency) -> void
    {
        auto result = AttemptResult();
        result.node = node;
        result.latency = latency;
        result.report = makeReport(++m_sequence, 0);
        m_fixture.pool.didEnd(result, m_fixture.now, m_fixture.random);
    }

    auto report(const admission::LoadReport &report) -> void
    {
        auto numbered = report;
        numbered.sequence = ++m_sequence;
        m_fixture.pool.didReceiveReport(Recovering, numbered, m_fixture.now);
    }

    auto fail(Reason reason, Outcome outcome = Outcome::Failed) -> void
    {
        m_fixture.pool.didSend(Recovering, m_fixture.now);
        auto result = AttemptResult();
        result.node = Recovering;
        result.outcome = outcome;
        result.reason = reason;
        result.level = levelOf(1);
        m_fixture.pool.didEnd(result, m_fixture.now, m_fixture.random);
    }

    /// Sends calls that are answered only after `latency`.
    auto stall(Duration latency, int calls) -> void
    {
        for (auto n = 0; n < calls; ++n)
            m_fixture.pool.didSend(Recovering, m_fixture.now);
        m_fixture.now += latency;
        for (auto n = 0; n < calls; ++n)
            answer(Recovering, latency);
    }

    /// Sends a call each 10 ms for `length`. The recovering upstream takes two seconds for each, longer than the callers wait;
    /// the others answer at once. Returns how many calls it got.
    auto runWithSlowUpstream(Duration length) -> int
    {
        auto calls = 0;
        auto slowEnds = std::vector<TimePoint>();
        auto &now = m_fixture.now;
        for (const auto end = now + length; now < end; now += Millisecond * 10) {
            const auto isOver = [&](TimePoint it) { return it <= now; };
            for (auto n = std::ranges::count_if(slowEnds, isOver); n > 0; --n)
                answer(Recovering, Millisecond * 2'000);
            std::erase_if(slowEnds, isOver);
            const auto request = RouteRequest{
                    .level = levelOf(1), .deadline = now + Millisecond * 1'000, .mayProbe = false};
            const auto decision = m_fixture.pool.choose(request, now, m_fixture.random);
            m_fixture.pool.didSend(*decision.node, now);
            if (decision.node != Recovering) {
                answer(*decision.node, Millisecond * 5);
                continue;
            }
            ++calls;
            slowEnds.push_back(now + Millisecond * 2'000);
        }
        return calls;
    }

    [[nodiscard]] auto now() const -> TimePoint { return m_fixture.now; }

private:
    PoolFixture m_fixture;
    std::uint64_t m_sequence = 0;
};

Test(RecoveryOfUpstreams, eachBadStateIsCheckedAgainWithinSeconds)
{
    struct
    {
        const char *name;
        std::function<void(RecoveringPool &)> makeBad;
    } const cases[] = {
            {"the limit was reduced to one",
             [](auto &it) {
                 auto report = makeReport(0, 0);
                 report.limit = 1;
                 it.report(report);
             }},
            {"full",
             [](auto &it) {
                 auto report = makeReport(0, 10);
                 report.queued = 40;
                 report.estimatedWait = std::chrono::seconds(60);
                 it.report(report);
             }},
            {"a floor above all", [](auto &it) { it.report(makeReport(0, 0, {ClosedLevel})); }},
            {"draining",
             [](auto &it) {
                 auto report = makeReport(0, 0);
                 report.isDraining = true;
                 it.report(report);
             }},
            {"refused for draining", [](auto &it) { it.fail(Reason::Draining, Outcome::NotRun); }},
            {"refused for the floor",
             [](auto &it) { it.fail(Reason::BelowFloor, Outcome::NotRun); }},
            {"refused as cold", [](auto &it) { it.fail(Reason::Cold, Outcome::NotRun); }},
            {"ejected",
             [](auto &it) {
                 for (auto n = 0; n < 5; ++n)
                     it.fail(Reason::BackendFailed);
             }},
            {"a stall of two seconds, calls of one",
             [](auto &it) { it.stall(Millisecond * 2'000, 100); }},
    };
    static constexpr auto MaxTime = Millisecond * 5'000;
    for (const auto &it : cases) {
        for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
            auto pool = RecoveringPool(seed);
            pool.run(Millisecond * 2'000);
            it.makeBad(pool);
            const auto start = pool.now();
            const auto first = pool.run(Millisecond * 10'000);
            cr_expect(first, "%s: never asked again", it.name);
            if (first)
                cr_expect_leq((*first - start).count(), Duration(MaxTime).count(),
                              "%s: after %lld ms", it.name,
                              static_cast<long long>((*first - start) / Millisecond));
        }
    }
}

Test(RecoveryOfUpstreams, oneWhoseFirstAnswerWasSlowIsAskedAgain)
{
    for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
        auto pool = RecoveringPool(seed);
        pool.stall(Millisecond * 2'000, 1);
        const auto start = pool.now();
        const auto first = pool.run(Millisecond * 10'000);
        cr_assert(first, "never asked again");
        cr_expect_leq((*first - start).count(), Duration(Millisecond * 5'000).count());
    }
}

Test(RecoveryOfUpstreams, oneThatStaysSlowCostsACallInFourSeconds)
{
    auto pool = RecoveringPool(1);
    pool.stall(Millisecond * 2'000, 1);
    const auto calls = pool.runWithSlowUpstream(Millisecond * 60'000);
    cr_assert_geq(calls, 60 / 8);
    cr_assert_leq(calls, 60 / 4);
}
