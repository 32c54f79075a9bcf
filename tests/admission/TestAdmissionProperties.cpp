#include <criterion/criterion.h>

#include "Gate.h"

using namespace stairspur;
using namespace stairspur::admission;
using namespace stairspur::admission::test;

namespace {

/// Applies random events to one gate and checks the invariants after each.
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed, bool mayBeRateLimited = false)
        : m_random(seed)
        , m_gate(randomSettings(), seed)
        , m_mayBeRateLimited(mayBeRateLimited)
    {}

    auto run(int events) -> void
    {
        for (auto i = 0; i < events; ++i)
            step();
    }

private:
    auto below(std::uint64_t bound) -> std::uint64_t { return randomBelow(m_random, bound); }

    auto randomSettings() -> AdmissionSettings
    {
        auto settings = AdmissionSettings();
        settings.maxQueue = 1 + static_cast<std::uint32_t>(below(40));
        settings.reportedSlots = 1 + static_cast<std::uint32_t>(below(20));
        settings.initialLimit = 1 + static_cast<std::uint32_t>(below(6));
        return settings;
    }

    auto step() -> void
    {
        const auto kind = below(100);
        m_gate.now += Duration(static_cast<Duration::rep>(below(3000)));
        if (m_isRateLimited)
            m_refusedSinceReduction
                    .clear(); // A token may have been added, which lets lower calls in.
        if (kind < 55)
            offer();
        else if (kind < 85 && !m_gate.running.empty())
            complete();
        else if (kind < 90 && !m_calls.empty())
            cancel();
        else if (kind < 93)
            setDeeperFloors();
        else if (kind < 94 && m_mayBeRateLimited)
            setRateLimit();
        else
            check(m_gate.advance(Duration(0)), std::nullopt);
    }

    auto offer() -> void
    {
        const auto rank = static_cast<ClassRank>(below(4));
        const auto call =
                CallOffer{m_next++, makeLevel(rank, below(128)),
                          m_gate.now + Duration(static_cast<Duration::rep>(below(300'000)))};
        m_calls[call.id] = call;
        check(m_gate.record(m_gate.controller.offer(call, m_gate.now, m_gate.random)), call);
    }

    auto complete() -> void
    {
        const auto id = m_gate.running[below(m_gate.running.size())];
        const auto completion = static_cast<Completion>(below(3) ? 0 : below(5));
        m_refusedSinceReduction.clear();
        m_calls.erase(id);
        check(m_gate.complete(id, completion, Duration(1000 + static_cast<int>(below(40'000)))),
              std::nullopt);
    }

    auto cancel() -> void
    {
        auto it = m_calls.lower_bound(below(m_next));
        if (it == m_calls.end() || isRunning(it->first))
            return;
        const auto id = it->first;
        m_calls.erase(it);
        m_refusedSinceReduction.clear();
        check(m_gate.record(m_gate.controller.cancel(id, m_gate.now, m_gate.random)), std::nullopt);
    }

    /// Sets random floors: plausible, missing, closed or contradictory.
    auto setDeeperFloors() -> void
    {
        auto floors = std::vector<Level>(below(6));
        for (auto &it : floors)
            it = below(3) ? LowestLevel : makeLevel(static_cast<ClassRank>(below(4)), below(128));
        if (below(20) == 0)
            floors.assign(1, ClosedLevel);
        m_gate.controller.setDeeperFloors(floors);
        m_refusedSinceReduction.clear();
    }

    /// Sets a random rate limit, or ends it. A limit that has ended grows for some time.
    auto setRateLimit() -> void
    {
        m_isRateLimited = true;
        const auto rate = std::optional<double>(static_cast<double>(below(2'000)));
        m_gate.controller.setRateLimit(below(3) ? rate : std::nullopt, m_gate.now);
        m_refusedSinceReduction.clear();
    }

    auto isRunning(CallId id) const -> bool
    {
        return std::find(m_gate.running.begin(), m_gate.running.end(), id) != m_gate.running.end();
    }

    auto check(const AdmissionActions &actions, std::optional<CallOffer> newCall) -> void
    {
        for (auto it : actions.dispatch)
            cr_assert(m_calls.at(it).deadline > m_gate.now, "an expired call was dispatched");
        for (const auto &it : actions.refuse) {
            cr_assert(m_calls.contains(it.id) && !isRunning(it.id),
                      "a call was refused twice, or while it ran");
            cr_assert(it.retryAfter > Duration(0));
            // A waiting call that is refused reduces the load for later calls, unless it is evicted.
            if (it.reason != Reason::Evicted && (!newCall || it.id != newCall->id))
                m_refusedSinceReduction.clear();
        }
        for (const auto &it : actions.refuse) {
            m_refusedSinceReduction.push_back({m_calls.at(it.id), it.reason});
            m_calls.erase(it.id);
        }
        cr_assert_eq(m_gate.controller.inFlight(), m_gate.running.size());
        cr_assert_eq(m_gate.controller.inFlight() + m_gate.controller.queued(), m_calls.size(),
                     "a call was lost");
        checkOrder(actions);
        if (newCall && m_calls.contains(newCall->id))
            checkNotAfterRefusal(*newCall);
    }

    /// Checks that no call waits or was just dispatched whose level is lower than that of a refused call.
    auto checkOrder(const AdmissionActions &actions) -> void
    {
        for (const auto &it : m_refusedSinceReduction) {
            for (const auto &[id, call] : m_calls) {
                const auto isNew = std::find(actions.dispatch.begin(), actions.dispatch.end(), id)
                                   != actions.dispatch.end();
                if (!isRunning(id) || isNew)
                    cr_assert(!wasWronglyRefused(it, call), "a lower level waits or runs");
            }
        }
    }

    /// Checks that the admitted call does not have a lower level than a call refused before.
    auto checkNotAfterRefusal(const CallOffer &newCall) -> void
    {
        for (const auto &it : m_refusedSinceReduction)
            cr_assert(!wasWronglyRefused(it, newCall), "a lower level was admitted afterwards");
    }

    struct Refused
    {
        CallOffer call;
        Reason reason;
    };

    static auto wasWronglyRefused(const Refused &refused, const CallOffer &served) -> bool
    {
        if (served.level >= refused.call.level)
            return false;
        // A refusal for lack of time depends on the deadline alone. A lower call with a later deadline may be served.
        const auto isForLackOfTime = refused.reason == Reason::WaitExceedsDeadline
                                     || refused.reason == Reason::DeadlineExceeded;
        return !isForLackOfTime || served.deadline <= refused.call.deadline;
    }

    Random m_random;
    Gate m_gate;
    bool m_mayBeRateLimited;
    bool m_isRateLimited = false;
    std::map<CallId, CallOffer> m_calls; ///< Calls that wait or run.
    std::vector<Refused> m_refusedSinceReduction;
    CallId m_next = 1;
};

} // namespace

Test(AdmissionProperties, noLevelIsRefusedWhileALowerOneIsServed)
{
    for (auto seed = std::uint64_t{1}; seed <= 300; ++seed)
        RandomRun(seed).run(1500);
}

Test(AdmissionProperties, noLevelIsRefusedWhileALowerOneIsServedUnderARateLimit)
{
    for (auto seed = std::uint64_t{1}; seed <= 300; ++seed)
        RandomRun(seed, true).run(1500);
}
