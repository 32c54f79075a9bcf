#include <criterion/criterion.h>

#include "Gate.h"

/// The rate limit that a backend server states, as a second resource beside its slots.
using namespace stairspur;
using namespace stairspur::admission;
using namespace stairspur::admission::test;

namespace {

constexpr auto Second = Duration(1'000'000);

/// A gate of 40 slots under load, with a backend server that takes 10 ms for a call.
class LimitedGate
{
public:
    explicit LimitedGate(std::uint64_t seed = 1)
        : m_random(seed)
    {}

    auto setRate(std::optional<double> perSecond) -> void
    {
        gate.controller.setRateLimit(perSecond, gate.now);
    }

    /// Offers `perSecond` calls of all classes a second for `length`, at random times. Calls below the floor are not
    /// offered, as entries refuse them.
    auto drive(double perSecond, Duration length) -> void
    {
        for (const auto end = gate.now + length; gate.now < end;) {
            record(gate.advance(1_ms));
            endCalls();
            for (auto due = perSecond / 1000.0; randomUnit(m_random) < due; due -= 1.0)
                offer();
        }
    }

    auto offer() -> void
    {
        const auto level = makeLevel(static_cast<ClassRank>(randomBelow(m_random, 3)), m_random());
        const auto floor = gate.controller.report(gate.now).floorFor(level.rank());
        if (level >= floor)
            record(gate.offer(m_next++, level));
    }

    /// Offers a burst of calls at one moment, regardless of the floor.
    auto offerBurst(int n) -> void
    {
        for (; n > 0; --n)
            record(gate.offer(m_next++, makeLevel(0, m_random())));
    }

    /// Returns the maximum number of calls that were sent in any 4 s after `from`.
    [[nodiscard]] auto maxInWindow(TimePoint from) const -> std::size_t
    {
        auto most = std::size_t{0};
        for (auto it = m_sent.begin(); it != m_sent.end(); ++it) {
            const auto end = std::lower_bound(it, m_sent.end(), *it + 4 * Second);
            if (*it >= from)
                most = std::max(most, static_cast<std::size_t>(end - it));
        }
        return most;
    }

    [[nodiscard]] auto sentSince(TimePoint from) const -> std::size_t
    {
        return static_cast<std::size_t>(m_sent.end()
                                        - std::lower_bound(m_sent.begin(), m_sent.end(), from));
    }

    Gate gate = warmGate(40);

private:
    auto endCalls() -> void
    {
        while (!gate.running.empty() && m_ends[gate.running.front()] <= gate.now)
            record(gate.completeOldest());
    }

    auto record(const AdmissionActions &actions) -> void
    {
        for (const auto it : actions.dispatch) {
            m_sent.push_back(gate.now);
            m_ends[it] = gate.now + 10_ms;
        }
    }

    Random m_random;
    CallId m_next = 1;
    std::vector<TimePoint> m_sent;
    std::map<CallId, TimePoint> m_ends;
};

} // namespace

Test(RateLimit, noWindowHasMoreCallsThanTheRateAllows)
{
    for (const auto rate : {0.2, 1.0, 3.0, 12.3, 100.0, 1'000.0}) {
        auto limited = LimitedGate();
        limited.drive(2'000, Second);
        limited.setRate(rate);
        const auto start = limited.gate.now;
        limited.drive(2'000, 10 * Second);
        const auto burst = std::max(3.0, rate * 0.1);
        const auto most = static_cast<double>(limited.maxInWindow(start));
        cr_expect_leq(most, 4 * rate + burst + 1, "%.1f a second: %.0f calls in 4 s", rate, most);
    }
}

Test(RateLimit, theWholeRateIsUsedWhileThereIsDemand)
{
    for (const auto rate : {3.0, 12.3, 100.0, 1'000.0}) {
        for (const auto times : {1.5, 4.0}) {
            auto limited = LimitedGate(7);
            limited.drive(rate, Second);
            limited.setRate(rate);
            limited.drive(rate * times, 2 * Second);
            const auto start = limited.gate.now;
            limited.drive(rate * times, 20 * Second);
            const auto share = static_cast<double>(limited.sentSince(start)) / (rate * 20);
            cr_expect_geq(share, 0.95, "%.1f a second, %.1f times as many: share %.3f", rate, times,
                          share);
        }
    }
}

Test(RateLimit, holdsWhileStatementsChangeAndCallsComeInBursts)
{
    for (auto seed = std::uint64_t{1}; seed <= 50; ++seed) {
        auto random = Random(seed);
        auto limited = LimitedGate(seed);
        limited.drive(200, Second);
        auto most = 0.0;
        const auto start = limited.gate.now;
        for (auto second = 0; second < 12; ++second) {
            const auto rate = 0.5 + 40 * randomUnit(random);
            most = std::max(most, rate);
            limited.setRate(rate);
            if (randomBelow(random, 3) == 0)
                limited.offerBurst(30);
            if (randomBelow(random, 4) == 0)
                limited.gate.now += 3 * Second; // The node is frozen.
            limited.drive(400 * randomUnit(random), Second);
        }
        cr_expect_leq(limited.maxInWindow(start), 1.5 * 4 * most + 5, "seed %lu", seed);
    }
}

Test(RateLimit, aSmallerRateHoldsAtOnce)
{
    auto limited = LimitedGate();
    limited.setRate(1'000);
    limited.drive(0, Second);
    limited.setRate(2);
    limited.offerBurst(50);
    cr_assert_eq(limited.sentSince(TimePoint{}), 3, "tokens of the greater rate were used");
}

Test(RateLimit, aFrozenNodeSendsNoBacklog)
{
    auto limited = LimitedGate();
    limited.setRate(10);
    limited.drive(100, 2 * Second);
    const auto frozenAt = limited.gate.now;
    limited.gate.now += 10 * Second;
    limited.drive(100, 100_ms);
    cr_assert_leq(limited.sentSince(frozenAt), 4, "more than the burst and a tenth of the rate");
}

Test(RateLimit, theMoreImportantClassGetsTheTokens)
{
    auto limited = LimitedGate();
    auto &gate = limited.gate;
    limited.setRate(20);
    limited.drive(400, 3 * Second);
    // 400 calls a second of three classes: the most important class alone has more calls than there are tokens.
    for (const auto &[id, level] : gate.levels) {
        const auto isServed = !gate.refused.contains(id) && id != 1'000'000;
        if (isServed && level.rank() > 0 && id > 600)
            cr_assert_fail("call %lu of class %u was served", id, level.rank());
    }
}

Test(RateLimit, refusalsComeAtOnceAndSayWhenATokenIsThere)
{
    auto limited = LimitedGate();
    limited.setRate(0.2);
    limited.drive(50, 2 * Second);
    const auto actions = limited.gate.offer(999'999, makeLevel(2, 0), 2000_ms);
    cr_assert_eq(actions.refuse.size(), 1);
    cr_assert_geq(actions.refuse[0].retryAfter.count(), Duration(1'000'000).count());
}

Test(RateLimit, aFullQueueIsRefusedForTheRate)
{
    auto limited = LimitedGate();
    limited.setRate(10);
    limited.offerBurst(20);
    const auto isRateLimited = [](const auto &it) { return it.second == Reason::RateLimited; };
    cr_assert(std::ranges::any_of(limited.gate.refused, isRateLimited));
}

Test(RateLimit, aLimitedServerDoesNotLookIdle)
{
    auto limited = LimitedGate();
    const auto before = limited.gate.controller.report(limited.gate.now);
    cr_assert_eq(before.limit, 40);
    limited.setRate(200);
    limited.drive(400, Second);
    const auto report = limited.gate.controller.report(limited.gate.now);
    cr_assert_eq(report.limit, 40, "the slots are free, and entries compare upstreams by them");
    cr_assert_gt(report.estimatedWait.count(), 0);
    cr_assert(report.floorFor(0) > LowestLevel, "half of the calls are refused");
}

Test(RateLimit, aCallOfWhichNothingWasSentReturnsItsToken)
{
    auto limited = LimitedGate();
    limited.setRate(1);
    limited.drive(0, Second);
    limited.offerBurst(1);
    cr_assert_eq(limited.gate.running.size(), 1);
    limited.gate.controller.didNotSend();
    limited.gate.completeOldest(Completion::Failed);
    limited.offerBurst(1);
    cr_assert_eq(limited.gate.running.size(), 1);
}

Test(RateLimit, theFullRateIsBackWithinSecondsAndWithoutAStep)
{
    auto limited = LimitedGate();
    limited.setRate(12.3);
    limited.drive(1'000, 5 * Second);
    limited.setRate(std::nullopt);
    const auto end = limited.gate.now;
    limited.drive(1'000, Second);
    cr_assert_leq(limited.sentSince(end), 12.3 * 4 + 5, "the rate grew at once");
    limited.drive(1'000, 4 * Second);
    const auto later = limited.gate.now;
    limited.drive(1'000, Second);
    cr_assert_geq(limited.sentSince(later), 950);
}

Test(RateLimit, aNewProcessInstanceHasNone)
{
    auto limited = LimitedGate();
    limited.setRate(1);
    limited.gate.controller.didReplaceBackend();
    limited.offerBurst(3);
    cr_assert_eq(limited.gate.running.size(), 3);
}
