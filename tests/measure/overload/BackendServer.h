#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Random.h>

#include "Deployment.h"
#include "EventQueue.h"

namespace stairspur::overload {

/// A backend server: works on `slots` calls at once, keeps more of them waiting in the order of arrival, and sheds what
/// exceeds its connections. A call holds its slot until release(), also while it waits for a deeper service.
class BackendServer
{
public:
    struct Work
    {
        TimePoint deadline;
        std::function<void(Duration)>
                didWork; ///< How much work was done. Called once, also upon release().
        std::function<void(bool)>
                didEnd; ///< Whether the work was done: not when it came to its turn too late.
    };

    BackendServer(const ServiceModel &model, EventQueue &events, Random &random)
        : m_model(model)
        , m_events(events)
        , m_random(random)
    {}

    auto setSlowdown(double slowdown) -> void { m_slowdown = slowdown; }

    /// Takes a call. False: shed.
    auto start(CallId id, Work work) -> bool
    {
        if (m_calls.size() >= m_model.connections)
            return false;
        m_calls.emplace(id, Call{std::move(work), TimePoint(), false, false});
        m_waiting.push_back(id);
        startWaiting();
        return true;
    }

    /// The call has ended or its connection was closed.
    auto release(CallId id) -> void
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            return;
        const auto call = std::move(it->second);
        m_calls.erase(it);
        if (call.isWorking)
            call.work.didWork(m_events.now() - call.startedAt);
        if (call.holdsSlot) {
            --m_busy;
            startWaiting();
        }
    }

private:
    struct Call
    {
        Work work;
        TimePoint startedAt;
        bool holdsSlot = false;
        bool isWorking = false;
    };

    auto startWaiting() -> void
    {
        while (!m_waiting.empty() && m_busy < m_model.slots) {
            const auto id = m_waiting.front();
            m_waiting.pop_front();
            const auto it = m_calls.find(id);
            if (it != m_calls.end())
                startWork(id, it->second);
        }
    }

    auto startWork(CallId id, Call &call) -> void
    {
        if (call.work.deadline <= m_events.now()) {
            m_events.after(Duration(0), [this, id] { end(id, false); });
            return;
        }
        ++m_busy;
        call.holdsSlot = true;
        call.isWorking = true;
        call.startedAt = m_events.now();
        m_events.after(drawServiceTime(), [this, id] { end(id, true); });
    }

    auto end(CallId id, bool hasWorked) -> void
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            return;
        it->second.isWorking = false;
        // Either of them may release the call.
        const auto work = it->second.work;
        if (hasWorked)
            work.didWork(m_events.now() - it->second.startedAt);
        work.didEnd(hasWorked);
    }

    /// Half of the mean at the least, and an exponential rest.
    auto drawServiceTime() -> Duration
    {
        const auto mean = static_cast<double>(m_model.serviceTime.count()) * m_slowdown;
        const auto factor = 0.5 + std::exponential_distribution<double>(2.0)(m_random);
        return Duration(static_cast<Duration::rep>(mean * factor));
    }

    const ServiceModel &m_model;
    EventQueue &m_events;
    Random &m_random;
    std::unordered_map<CallId, Call> m_calls;
    std::deque<CallId> m_waiting;
    std::uint32_t m_busy = 0;
    double m_slowdown = 1.0;
};

} // namespace stairspur::overload
