#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include <stairspur/core/Time.h>

namespace stairspur::overload {

/// Virtual time: events run in the order of their times, those of one time in the order in which they were planned.
class EventQueue
{
public:
    using Action = std::function<void()>;

    [[nodiscard]] auto now() const -> TimePoint { return m_now; }

    auto at(TimePoint time, Action action) -> void
    {
        m_events.push_back({std::max(time, m_now), m_next++, std::move(action)});
        std::push_heap(m_events.begin(), m_events.end(), isLater);
    }

    auto after(Duration delay, Action action) -> void { at(m_now + delay, std::move(action)); }

    /// Runs all events up to `end`.
    auto runUntil(TimePoint end) -> void
    {
        while (!m_events.empty() && m_events.front().time <= end) {
            std::pop_heap(m_events.begin(), m_events.end(), isLater);
            auto event = std::move(m_events.back());
            m_events.pop_back();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        Action action;
    };

    static auto isLater(const Event &a, const Event &b) -> bool
    {
        return a.time != b.time ? a.time > b.time : a.order > b.order;
    }

    std::vector<Event> m_events;
    TimePoint m_now{};
    std::uint64_t m_next = 0;
};

} // namespace stairspur::overload
