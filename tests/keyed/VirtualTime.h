#pragma once

#include <functional>
#include <map>
#include <utility>

#include <stairspur/core/Time.h>

namespace stairspur::keyed::test {

using Action = std::function<void()>;

/// A virtual clock that advances from event to event.
class VirtualTime
{
public:
    [[nodiscard]] auto now() const -> TimePoint { return m_now; }

    /// Schedules `action`.
    auto after(Duration delay, Action action) -> void
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    /// Runs every event up to `end` and advances the clock to it.
    auto runUntil(TimePoint end) -> void
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

private:
    TimePoint m_now;
    std::multimap<TimePoint, Action> m_events;
};

constexpr auto ms(long long n) -> Duration
{
    return Duration(n * 1000);
}

} // namespace stairspur::keyed::test
