#include <stairspur/retry/RetryWindow.h>

#include <algorithm>
#include <limits>

namespace stairspur::retry {

RetryWindow::RetryWindow(Duration length)
    : m_slotLength(std::max<std::int64_t>(length.count() / SlotsPerWindow, 1))
{}

auto RetryWindow::didRequest(TimePoint now) -> void
{
    advanceTo(now);
    ++at(m_current).requests;
}

auto RetryWindow::didRetry(TimePoint now) -> void
{
    advanceTo(now);
    ++at(m_current).retries;
}

auto RetryWindow::advanceTo(TimePoint now) -> void
{
    const auto slot = now.time_since_epoch().count() / m_slotLength;
    const auto first = std::max(m_current + 1, slot - SlotCount + 1);
    for (auto it = first; it <= slot; ++it)
        at(it) = Slot();
    m_current = std::max(m_current, slot);
}

auto RetryWindow::at(std::int64_t slot) -> Slot &
{
    return m_slots[static_cast<std::size_t>(slot % SlotCount)];
}

auto RetryWindow::sumOf(std::uint32_t Slot::*count, std::int64_t first, std::int64_t last) const
        -> double
{
    const auto oldest = std::max<std::int64_t>(m_current - SlotCount + 1, 0);
    auto sum = 0.0;
    for (auto it = std::max(first + 1, oldest); it <= std::min(last, m_current); ++it)
        sum += m_slots[static_cast<std::size_t>(it % SlotCount)].*count;
    return sum;
}

auto RetryWindow::requestsIn(std::int64_t first, std::int64_t last) const -> double
{
    return sumOf(&Slot::requests, first, last);
}

auto RetryWindow::retriesIn(std::int64_t first, std::int64_t last) const -> double
{
    return sumOf(&Slot::retries, first, last);
}

auto RetryWindow::allowance(double share, double slack, TimePoint now) -> double
{
    advanceTo(now);
    auto least = std::numeric_limits<double>::max();
    // A retry made now belongs to every span that ends between now and one window length later. Future requests are not
    // counted.
    for (auto end = m_current; end <= m_current + SlotsPerWindow; ++end) {
        const auto begin = end - SlotsPerWindow;
        const auto same = requestsIn(begin, end);
        const auto before = requestsIn(begin - SlotsPerWindow, begin);
        const auto halfBefore = requestsIn(begin - SlotsPerWindow / 2, end - SlotsPerWindow / 2);
        const auto allowed = share * std::max({same, before, halfBefore}) + slack;
        least = std::min(least, allowed - retriesIn(begin - 1, end));
    }
    return least;
}

} // namespace stairspur::retry
