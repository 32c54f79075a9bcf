#include <criterion/criterion.h>

#include "Gate.h"

using namespace stairspur;
using namespace stairspur::admission;
using namespace stairspur::admission::test;

namespace {

/// Requests of one kind: their rate, their cost at the gate and their counts.
struct Kind
{
    PathKey path = NoPath;
    double perMillisecond = 0;
    Duration serviceTime{0};
    ClassRank rank = 2;
    std::uint64_t offered = 0;
    std::uint64_t sent = 0; ///< Requests at or above the floors, which the entry sends to the gate.
    std::uint64_t served = 0;

    [[nodiscard]] auto servedShare() const -> double
    {
        return static_cast<double>(served) / static_cast<double>(offered);
    }
};

/// Simulates kinds of requests at one gate of ten slots, whose entries refuse requests below the reported floors.
class MixedLoad
{
public:
    explicit MixedLoad(std::vector<Kind> kinds)
        : m_kinds(std::move(kinds))
    {}

    /// Counts requests over twenty seconds, after five seconds in which floors and costs become stable.
    auto runAndCount() -> void
    {
        run(5000_ms);
        resetCounts();
        run(20'000_ms);
    }

    [[nodiscard]] auto kind(std::size_t index) const -> const Kind & { return m_kinds[index]; }

private:
    auto run(Duration time) -> void
    {
        for (const auto end = m_gate.now + time; m_gate.now < end;) {
            m_gate.now += 1_ms;
            completeDue();
            recordDispatch(m_gate.record(m_gate.controller.advanceTo(m_gate.now, m_gate.random)));
            for (auto index = std::size_t{0}; index < m_kinds.size(); ++index)
                arrive(index);
        }
    }

    auto resetCounts() -> void
    {
        for (auto &it : m_kinds)
            it.offered = it.sent = it.served = 0;
    }

    auto arrive(std::size_t index) -> void
    {
        auto &kind = m_kinds[index];
        for (auto due = kind.perMillisecond; randomUnit(m_random) < due; due -= 1.0) {
            ++kind.offered;
            const auto level = makeLevel(kind.rank, m_random());
            const auto report = m_gate.controller.report(m_gate.now);
            if (level < report.floorFor({kind.rank, kind.path}))
                continue;
            ++kind.sent;
            const auto id = m_next++;
            m_kindOf[id] = index;
            auto offer = CallOffer{id, level, m_gate.now + 2000_ms, kind.path};
            recordDispatch(
                    m_gate.record(m_gate.controller.offer(offer, m_gate.now, m_gate.random)));
        }
    }

    auto recordDispatch(const AdmissionActions &actions) -> void
    {
        for (auto it : actions.dispatch)
            m_ends.emplace(m_gate.now + m_kinds[m_kindOf[it]].serviceTime, it);
    }

    auto completeDue() -> void
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_gate.now) {
            const auto id = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            auto &kind = m_kinds[m_kindOf[id]];
            ++kind.served;
            recordDispatch(m_gate.complete(id, Completion::Succeeded, kind.serviceTime));
        }
    }

    Gate m_gate = warmGate(10);
    Random m_random{5};
    std::vector<Kind> m_kinds;
    std::map<CallId, std::size_t> m_kindOf;
    std::multimap<TimePoint, CallId> m_ends;
    CallId m_next = 1;
};

} // namespace

Test(CostOrder, expensiveRequestsYieldToCheapOnesUnderOverload)
{
    // Cheap requests demand six of the ten slots, expensive requests of the same class demand seven. By hash alone both
    // kinds would lose a quarter of their requests. Three sevenths of the few expensive requests are enough.
    auto load = MixedLoad({{.path = 11, .perMillisecond = 0.6, .serviceTime = 10_ms},
                           {.path = 22, .perMillisecond = 0.0875, .serviceTime = 80_ms}});
    load.runAndCount();
    const auto cheap = load.kind(0).servedShare();
    const auto expensive = load.kind(1).servedShare();
    cr_assert_gt(cheap, 0.93, "cheap %.3f, expensive %.3f", cheap, expensive);
    cr_assert(expensive > 0.4 && expensive < 0.7, "cheap %.3f, expensive %.3f", cheap, expensive);
}

Test(CostOrder, expensiveRequestsKeepAShareUnderAnyCheapDemand)
{
    auto load = MixedLoad({{.path = 11, .perMillisecond = 1.3, .serviceTime = 10_ms},
                           {.path = 22, .perMillisecond = 0.0875, .serviceTime = 80_ms}});
    load.runAndCount();
    const auto cheap = load.kind(0).servedShare();
    const auto expensive = load.kind(1).servedShare();
    cr_assert_gt(expensive, 0.12, "cheap %.3f, expensive %.3f", cheap, expensive);
    cr_assert_gt(cheap, 0.5, "cheap %.3f, expensive %.3f", cheap, expensive);
}

Test(CostOrder, expensiveRequestsNeverYieldToALessImportantClass)
{
    auto load = MixedLoad({{.path = 11, .perMillisecond = 1.0, .serviceTime = 10_ms, .rank = 2},
                           {.path = 22, .perMillisecond = 0.0875, .serviceTime = 80_ms, .rank = 0},
                           {.path = 33, .perMillisecond = 0.1, .serviceTime = 10_ms, .rank = 0}});
    load.runAndCount();
    cr_assert_gt(load.kind(1).servedShare(), 0.98, "%.3f", load.kind(1).servedShare());
    cr_assert_gt(load.kind(2).servedShare(), 0.98, "%.3f", load.kind(2).servedShare());
}

Test(CostOrder, floorsCountWorkSoThatTheGateRefusesFewSentRequests)
{
    // Requests of the important class occupy slots for 24 times as long as the others. A floor that counts calls instead
    // of work admits more than fits until the queue grows, and the gate then refuses 0.122 of the sent requests.
    auto load = MixedLoad({{.path = 11, .perMillisecond = 1.0, .serviceTime = 10_ms, .rank = 2},
                           {.path = 22, .perMillisecond = 0.02, .serviceTime = 240_ms, .rank = 0}});
    load.runAndCount();
    const auto &cheap = load.kind(0);
    const auto refusedShare =
            static_cast<double>(cheap.sent - cheap.served) / static_cast<double>(cheap.sent);
    cr_assert_lt(refusedShare, 0.08, "the gate refused %.4f of the sent requests", refusedShare);
    cr_assert_gt(load.kind(1).servedShare(), 0.98);
}

Test(CostOrder, refusedDeeperCallsRaiseTheFloorAboveTheirLevel)
{
    auto gate = warmGate(1, 2);
    auto offer = [&](CallId id, std::uint64_t hash, bool isDeeperCall) {
        auto call = CallOffer{id, makeLevel(2, hash), gate.now + 2000_ms};
        call.isDeeperCall = isDeeperCall;
        gate.record(gate.controller.offer(call, gate.now, gate.random));
    };
    for (auto id = CallId{1}; id <= 3; ++id)
        offer(id, 100, false);
    cr_assert_eq(gate.controller.report(gate.now).floorFor(2), LowestLevel);
    offer(4, 50, false);
    cr_assert(gate.refused.contains(4));
    cr_assert_leq(gate.controller.report(gate.now).floorFor(2), makeLevel(2, 50),
                  "a call from an entry does not raise the floor");
    offer(5, 60, true);
    cr_assert(gate.refused.contains(5));
    cr_assert_eq(gate.controller.report(gate.now).floorFor(2), makeLevel(2, 61));
}
