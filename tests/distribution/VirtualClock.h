#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include <stairspur/core/Time.h>

namespace stairspur::distribution {

/// A clock that advances only by advanceTo(), with the events scheduled by it.
class VirtualClock
{
public:
    /// Advances to `time`, or to the next event if that is earlier, and runs the events that are due then.
    auto advanceTo(TimePoint time) -> void
    {
        if (!m_events.empty())
            time = std::min(time, std::max(m_events.top().at, now));
        now = time;
        while (!m_events.empty() && m_events.top().at <= now) {
            const auto event = m_events.top().run;
            m_events.pop();
            event();
        }
    }

    auto schedule(Duration delay, std::function<void()> event) -> void
    {
        m_events.push({now + delay, ++m_order, std::move(event)});
    }

    TimePoint now{Duration{1'000'000}};

private:
    /// A scheduled event. The earliest event compares as the greatest, as the priority queue requires.
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> run;

        auto operator<(const Event &other) const -> bool
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
};

} // namespace stairspur::distribution
