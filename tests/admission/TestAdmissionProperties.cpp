#include <criterion/criterion.h>

#include "Gate.h"

using namespace stairspur;
using namespace stairspur::admission;
using namespace stairspur::admission::test;

namespace {

/// Drives one gate through random events and checks after each what must always hold.
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed)
        : m_random(seed)
        , m_gate(randomSettings(), seed)
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
        settings.coldLimit = 1 + static_cast<std::uint32_t>(below(6));
        return settings;
    }

    auto step() -> void
    {
        const auto kind = below(100);
        m_gate.now += Duration(static_cast<Duration::rep>(below(3000)));
        if (kind < 55)
            offer();
        else if (kind < 85 && !m_gate.running.empty())
            complete();
        else if (kind < 90 && !m_calls.empty())
            cancel();
        else if (kind < 93)
            setDeeperFloors();
        else
            check(m_gate.pass(Duration(0)), std::nullopt);
    }

    auto offer() -> void
    {
        const auto rank = static_cast<ClassRank>(below(4));
        const auto call =
                CallOffer{m_next++, makeLevel(rank, below(128)),
                          m_gate.now + Duration(static_cast<Duration::rep>(below(300'000)))};
        m_calls[call.id] = call;
        check(m_gate.note(m_gate.controller.offer(call, m_gate.now, m_gate.random)), call);
    }

    auto complete() -> void
    {
        const auto id = m_gate.running[below(m_gate.running.size())];
        const auto completion = static_cast<Completion>(below(3) ? 0 : below(5));
        m_refusedSinceDrop.clear();
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
        m_refusedSinceDrop.clear();
        check(m_gate.note(m_gate.controller.cancel(id, m_gate.now, m_gate.random)), std::nullopt);
    }

    /// True, missing, closed and contradictory ones alike.
    auto setDeeperFloors() -> void
    {
        auto floors = std::vector<Level>(below(6));
        for (auto &it : floors)
            it = below(3) ? LowestLevel : makeLevel(static_cast<ClassRank>(below(4)), below(128));
        if (below(20) == 0)
            floors.assign(1, ClosedLevel);
        m_gate.controller.setDeeperFloors(floors);
        m_refusedSinceDrop.clear();
    }

    auto isRunning(CallId id) const -> bool
    {
        return std::find(m_gate.running.begin(), m_gate.running.end(), id) != m_gate.running.end();
    }

    auto check(const Progress &progress, std::optional<CallOffer> newcomer) -> void
    {
        for (auto it : progress.dispatch)
            cr_assert(m_calls.at(it).deadline > m_gate.now, "expired work was dispatched");
        for (const auto &it : progress.refuse) {
            cr_assert(m_calls.contains(it.id) && !isRunning(it.id),
                      "refused twice, or while it ran");
            cr_assert(it.retryAfter > Duration(0));
            // A place that was given up is a drop of load for those who come later.
            if (it.reason != Reason::Evicted && (!newcomer || it.id != newcomer->id))
                m_refusedSinceDrop.clear();
        }
        for (const auto &it : progress.refuse) {
            m_refusedSinceDrop.push_back({m_calls.at(it.id), it.reason});
            m_calls.erase(it.id);
        }
        cr_assert_eq(m_gate.controller.inFlight(), m_gate.running.size());
        cr_assert_eq(m_gate.controller.inFlight() + m_gate.controller.queued(), m_calls.size(),
                     "a call got lost");
        checkOrder(progress);
        if (newcomer && m_calls.contains(newcomer->id))
            checkNotAfterRefusal(*newcomer);
    }

    /// Nobody waits, or was dispatched, below one who was refused in the same step.
    auto checkOrder(const Progress &progress) -> void
    {
        for (const auto &it : m_refusedSinceDrop) {
            for (const auto &[id, call] : m_calls) {
                const auto isNew = std::find(progress.dispatch.begin(), progress.dispatch.end(), id)
                                   != progress.dispatch.end();
                if (!isRunning(id) || isNew)
                    cr_assert(!wasPassedOver(it, call), "a lower level waits or runs");
            }
        }
    }

    auto checkNotAfterRefusal(const CallOffer &newcomer) -> void
    {
        for (const auto &it : m_refusedSinceDrop)
            cr_assert(!wasPassedOver(it, newcomer), "a lower level was admitted afterwards");
    }

    struct Refused
    {
        CallOffer call;
        Reason reason;
    };

    static auto wasPassedOver(const Refused &refused, const CallOffer &served) -> bool
    {
        if (served.level >= refused.call.level)
            return false;
        // Who has no time left is refused for that alone; a lower call with more time may still be served.
        const auto isForTime = refused.reason == Reason::WaitExceedsDeadline
                               || refused.reason == Reason::DeadlineExceeded;
        return !isForTime || served.deadline <= refused.call.deadline;
    }

    Random m_random;
    Gate m_gate;
    std::map<CallId, CallOffer> m_calls; ///< Neither refused, nor cancelled, nor ended.
    std::vector<Refused> m_refusedSinceDrop;
    CallId m_next = 1;
};

} // namespace

Test(AdmissionProperties, noLevelIsRefusedWhileALowerOneIsServed)
{
    for (auto seed = std::uint64_t{1}; seed <= 300; ++seed)
        RandomRun(seed).run(1500);
}
